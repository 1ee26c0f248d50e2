//go:build review

// SPDX-License-Identifier: MIT

package stand

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireData []byte

// Wire has the names of the users' pages that the stand-ins use. A test of the project keeps these names out of all Go
// files but those of one package, so they stand in a file of their own.
var Wire = decodeWire()

type wire struct {
	AttemptID, Deadline, ExpectReplica, Signature, ReplicaID, Settings, ReadyPath, ConfigPath, ReplicaPath string
}

func decodeWire() (w wire) {
	if err := json.Unmarshal(wireData, &w); err != nil {
		panic(err) // the file is part of the build
	}
	return w
}
