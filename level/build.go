// SPDX-License-Identifier: MIT

package level

import (
	"runtime/debug"
	"sync"
)

// buildLength is how much of a commit's name tells a build: as much as is sent with each connection.
const buildLength = 12

// Build returns the name of this build: its commit, or "unknown" where it was built outside a
// repository.
var Build = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(buildLength, len(s.Value))]
		}
	}
	return "unknown"
})
