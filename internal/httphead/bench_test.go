// SPDX-License-Identifier: MIT

package httphead

import "testing"

// BenchmarkChecker measures the check of an ordinary head, which entries make for each response.
func BenchmarkChecker(b *testing.B) {
	lines := [][]byte{[]byte("HTTP/1.1 200 OK"), []byte("Content-Type: text/event-stream"), []byte("X-Request-Id: 9c41d07be2a35f68"), []byte("X-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"),
		[]byte("Date: Mon, 07 Dec 2026 17:00:00 GMT"), []byte("Transfer-Encoding: chunked"), nil}
	b.ReportAllocs()
	for b.Loop() {
		var c Checker
		for _, line := range lines {
			if _, err := c.Line(line); err != nil {
				b.Fatal(err)
			}
		}
	}
}
