// SPDX-License-Identifier: MIT

package gateway

// Names are the header names of a deployment.
type Names struct {
	RequestID string
	// Deadline is how many milliseconds the caller will wait.
	Deadline string
	// Tokens has the tokens of the prompt and the most that are generated, with a
	// comma between; Hint guesses those that will be generated.
	Tokens string
	Hint   string
	// Expect names the endpoint that alone may run a request.
	Expect string
	// Team carries the name of the key's team to endpoints.
	Team string
	// NotRun on an answer says that the endpoint has not run the request.
	NotRun string
	// Signature is on endpoints' own answers.
	Signature string
	// LastEvent is the last event of a stream that its reader has.
	LastEvent string
	// Reserved are the headers with which the system itself steers endpoints. What a
	// caller sends under them never passes an entry.
	Reserved []string
	// KeyScheme stands before a key in the Authorization header.
	KeyScheme string
}
