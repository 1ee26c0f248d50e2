// SPDX-License-Identifier: MIT

package poison

import (
	"encoding/json"
	"testing"
)

func fingerprintOf(team, method, host, uri string, parts ...string) Print {
	p := NewPrinter(team, method, host, uri)
	for _, part := range parts {
		_, _ = p.Write([]byte(part)) // it never fails
	}
	return p.Print()
}

// TestFingerprintDistinguishesRequests: the fingerprint does not depend on how the body is
// split into writes, and differs when any field differs or the boundary between two fields does.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	one := fingerprintOf("t", "POST", "h", "/a", "body")
	if one != fingerprintOf("t", "POST", "h", "/a", "bo", "", "dy") {
		t.Error("the same request has two fingerprints")
	}
	seen := map[Print]string{one: "the first"}
	for name, p := range map[string]Print{
		"team":         fingerprintOf("u", "POST", "h", "/a", "body"),
		"no team":      fingerprintOf("", "POST", "h", "/a", "body"),
		"method":       fingerprintOf("t", "PUT", "h", "/a", "body"),
		"host":         fingerprintOf("t", "POST", "g", "/a", "body"),
		"path":         fingerprintOf("t", "POST", "h", "/b", "body"),
		"query":        fingerprintOf("t", "POST", "h", "/a?x", "body"),
		"body":         fingerprintOf("t", "POST", "h", "/a", "bodx"),
		"no body":      fingerprintOf("t", "POST", "h", "/a"),
		"path in host": fingerprintOf("t", "POST", "h/a", "", "body"),
		"body in path": fingerprintOf("t", "POST", "h", "/abody"),
	} {
		if other, ok := seen[p]; ok {
			t.Errorf("%s and %s have the same fingerprint", name, other)
		}
		seen[p] = name
	}
	var decoded Print
	if data, err := json.Marshal(one); err != nil || json.Unmarshal(data, &decoded) != nil || decoded != one {
		t.Errorf("%s was decoded as %s: %v", one, decoded, err)
	}
	if len(one) != fingerprintBytes {
		t.Errorf("a fingerprint of %d bytes", len(one))
	}
}

// BenchmarkFingerprint measures the fingerprint of a request of 12 kB.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 12000)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		p := NewPrinter("team", "POST", "host.example", "/path/1")
		_, _ = p.Write(body) // it never fails
		p.Print()
	}
}
