// SPDX-License-Identifier: MIT

package proc

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestEndToEnd guards against altered responses of streamed, unstreamed and plain
// calls through two entries and three slots.
func TestEndToEnd(t *testing.T) {
	c := newCluster(t, topology{boxes: 2, controls: 1, engines: []float64{4, 1}, services: 1})
	o := c.newOracle()
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			box := i % 2
			switch i % 3 {
			case 0, 1:
				path := "/v1/completions"
				prompt := fmt.Sprintf("request %d wants %s", i, strings.Repeat("saffron ", i))
				a := c.call(box, http.MethodPost, path, completion(prompt, 5+i, i%3 == 0), nil)
				o.check(t, path, a)
				if a.outcome() != "ran" || !strings.HasPrefix(a.endpoint(), "chef-") {
					t.Errorf("request %d: outcome %q at %q", i, a.outcome(), a.endpoint())
				}
			case 2:
				body := strings.Repeat(fmt.Sprint("card ", i, " "), 1000*i)
				a := c.call(box, http.MethodPut, fmt.Sprintf("/svc/card-api/cards/%d?x=%%2F", i), body, nil)
				want := fmt.Sprintf("PUT /cards/%d?x=%%2F\n%s", i, body)
				if a.status != http.StatusOK || string(a.body) != want || a.outcome() != "ran" {
					t.Errorf("plain call %d: status %d, outcome %q, %d bytes of %d", i, a.status, a.outcome(), len(a.body), len(want))
				}
			}
		})
	}
	wg.Wait()
}

// TestLargeResponse guards against a truncated response that is larger than the
// slot's flow control window.
func TestLargeResponse(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{1}, services: 1})
	body := strings.Repeat("a plate of an excavation ", 150_000)
	a := c.call(0, http.MethodPost, "/svc/card-api/large", body, nil)
	if a.err != nil || !bytes.Equal(a.body, []byte("POST /large\n"+body)) {
		t.Errorf("status %d, %v, %d bytes of %d", a.status, a.err, len(a.body), len(body)+12)
	}
}

// TestEscapedPath guards against paths that reach a plain service in altered form.
func TestEscapedPath(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{4}, services: 1})
	for _, path := range []string{"/a%20b", "/a%0Ab%3Fc", "/a%2Fb//c", "/%E1%83%98%E1%83%99%E1%83%9D%E1%83%9C%E1%83%90?q=a%20b&q", "/"} {
		a := c.call(0, http.MethodGet, "/svc/card-api"+path, "", nil)
		if want := "GET " + path + "\n"; a.status != http.StatusOK || string(a.body) != want {
			t.Errorf("path %s: status %d, body %q", path, a.status, a.body)
		}
	}
}

// TestStalledRequestBody guards against waiting without end for a body that stalls.
func TestStalledRequestBody(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{4}})
	caller, err := net.Dial("tcp", c.callerAddress(0))
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	_ = caller.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprintf(caller, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer gold-team\r\nContent-Length: 1000\r\n\r\n{\"model\":")
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body) // the bytes that were read are checked below
	if response.StatusCode != http.StatusBadRequest || !bytes.Contains(body, []byte(`"code":"body"`)) {
		t.Errorf("status %d: %s", response.StatusCode, body)
	}
}

// TestInvalidRequests guards against wrong error responses, and against invalid
// requests that reach an endpoint.
func TestInvalidRequests(t *testing.T) {
	c := newCluster(t, topology{boxes: 1, controls: 1, engines: []float64{4}, services: 1})
	good := completion("x", 1, false)
	tests := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		code                     string
	}{
		{"no key", "POST", "/v1/completions", good, header("Authorization", ""), 401, "unknown_key"},
		{"unknown team", "POST", "/v1/completions", good, header("Authorization", "Bearer nobody"), 401, "unknown_key"},
		{"broken JSON", "POST", "/v1/completions", "{", nil, 400, "bad_body"},
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"x"}`, nil, 404, "unknown_model"},
		{"negative tokens", "POST", "/v1/completions", `{"model":"lynx-chef","max_tokens":-1}`, nil, 400, "bad_body"},
		{"forged tier", "POST", "/v1/completions", good, header("Authorization", "Bearer bronze-team", "Lynxramp-Tier", "gold"), 403, "tier_not_allowed"},
		{"unknown tier", "POST", "/v1/completions", good, header("Lynxramp-Tier", "platinum"), 400, "unknown_tier"},
		{"bad deadline", "POST", "/v1/completions", good, header("Lynxramp-Deadline-Ms", "soon"), 400, "bad_deadline"},
		{"oversize body", "POST", "/svc/card-api/x", strings.Repeat("x", 5<<20), nil, 413, "body_too_large"},
		{"unknown service", "GET", "/svc/none/x", "", nil, 404, "unknown_service"},
		{"model as service", "GET", "/svc/lynx-chef/x", "", nil, 404, "unknown_service"},
		{"unknown path", "GET", "/v2/x", "", nil, 404, "unknown_path"},
		{"bad method", "GET", "/v1/completions", "", nil, 405, "bad_method"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := c.call(0, test.method, test.path, test.body, test.header)
			if a.status != test.status || !bytes.Contains(a.body, []byte(`"code":"`+test.code+`"`)) || a.outcome() != "not-run" {
				t.Errorf("status %d, outcome %q, %v: %s", a.status, a.outcome(), a.err, a.body)
			}
			id := a.header.Get("Lynxramp-Request-Id")
			if id == "" {
				return
			}
			for n := range c.engines {
				starts := send(context.Background(), "GET", "http://"+c.engineAddress(n)+"/starts/"+id, "", nil)
				if string(starts.body) != "0" {
					t.Errorf("endpoint %d received the invalid request %s times", n, starts.body)
				}
			}
		})
	}
}
