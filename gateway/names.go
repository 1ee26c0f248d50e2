// SPDX-License-Identifier: MIT

package gateway

// HeaderNames are the names of HTTP headers in a deployment.
type HeaderNames struct {
	RequestID string
	// Deadline is the caller's timeout in milliseconds.
	Deadline string
	// Tokens has the prompt tokens and the maximum of generated tokens, separated by a comma;
	// OutputHint estimates the tokens that will be generated.
	Tokens     string
	OutputHint string
	// PromptParts lists the parts of the prompt in order, as ID:TOKENS separated by commas. IDs are hexadecimal. Requests
	// share parts, but for the last one.
	PromptParts string
	// ExpectedEndpoint names the only endpoint that may run a request.
	ExpectedEndpoint string
	// Team sends the name of the key's team to endpoints.
	Team string
	// NotRun in a response states that the endpoint did not run the request.
	NotRun string
	// Signature is set by endpoints in their own responses.
	Signature string
	// LastEventID is the ID of the last stream event that the reader received.
	LastEventID string
	// Resumes is set by a caller that resumes a stream: the RequestID of its attempt that received the first event.
	Resumes string
	// Reserved are the headers that only the system may send to endpoints. They are removed from
	// callers' requests.
	Reserved []string
	// KeyScheme precedes the key in the Authorization header.
	KeyScheme string
}
