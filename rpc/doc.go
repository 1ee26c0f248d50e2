// SPDX-License-Identifier: MIT

// Package rpc has the messages between the system's own processes (generated
// from lynxramp.proto by generate.sh), their translation to and from events,
// and the shared key that every such call carries.
package rpc
