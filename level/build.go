// SPDX-License-Identifier: MIT

package level

import (
	"runtime/debug"
	"sync"
)

// revisionLength is how much of the commit hash identifies a build; it is sent with each
// connection.
const revisionLength = 12

// Build returns the revision of this build, or "unknown" if it was built outside a repository.
var Build = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(revisionLength, len(s.Value))]
		}
	}
	return "unknown"
})
