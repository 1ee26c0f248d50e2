// SPDX-License-Identifier: MIT

// Package reqlimit limits what the requests of an http.Server hold: the lines of each head, the bytes of each body, and
// all heads and bodies together by an account of memory. net/http limits the bytes of each head only.
//
// The bytes of a connection are counted as they are read, before net/http parses them. What is held for a head is
// released when its request ends, as the parsed form is in use until then.
package reqlimit
