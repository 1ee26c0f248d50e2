// SPDX-License-Identifier: MIT

package scripted

// Malformed are responses that HTTP/1 does not allow, and that net/http returns to its callers or goes on to wait after. All but one
// have the body.
func Malformed(body string) map[string]string {
	const sound = "HTTP/1.1 200 OK\r\n"
	end := "Connection: close\r\n\r\n" + body
	return map[string]string{
		"status 000":                            "HTTP/1.1 000 OK\r\n" + end,
		"status 099":                            "HTTP/1.1 099 OK\r\n" + end,
		"status 101":                            "HTTP/1.1 101 Switching Protocols\r\n" + end,
		"status 101 with an upgrade":            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n" + body,
		"status 600":                            "HTTP/1.1 600 OK\r\n" + end,
		"status 999":                            "HTTP/1.1 999 OK\r\n" + end,
		"other protocol":                        "HTTP/2.0 200 OK\r\n" + end,
		"control byte in the reason phrase":     "HTTP/1.1 200 O\x01K\r\n" + end,
		"name with a blank":                     sound + "X Bad: 1\r\n" + end,
		"blank before the colon":                sound + "X-Bad : 1\r\n" + end,
		"name with a blank in an interim head":  "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + sound + end,
		"control byte, interim reason phrase":   "HTTP/1.1 103 \x01\r\n\r\n" + sound + end,
		"malformed interim head, then nothing":  "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n",
		"interim response with a coding":        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + sound + end,
		"coding in HTTP/1.0":                    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + end,
		"interim response with a length":        "HTTP/1.1 103 Early Hints\r\nContent-Length: 7\r\n\r\n" + sound + end,
		"interim responses without end":         interim(100) + sound + end,
		"name with a blank, the body has ended": sound + "X Bad: 1\r\nContent-Length: 0\r\n\r\n",
	}
}

func interim(count int) (text string) {
	for range count {
		text += "HTTP/1.1 100 Continue\r\n\r\n"
	}
	return text
}
