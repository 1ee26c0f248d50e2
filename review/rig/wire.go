//go:build review

// SPDX-License-Identifier: MIT

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire has the names of the users' pages that the cases use.
var wire = func() map[string]string {
	names := make(map[string]string)
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}()
