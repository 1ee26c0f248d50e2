// SPDX-License-Identifier: MIT

package gateway

import (
	"slices"
	"strconv"
	"strings"
)

// maxPromptParts bounds the parts of a prompt that are considered. Further ones are ignored.
const maxPromptParts = 32

// maxPartIDBytes bounds the ID of a part.
const maxPartIDBytes = 64

// sharedParts returns the IDs of the parts of a prompt that other requests may have, without the last one: in lower case,
// without leading zeros, each once. It returns none if the list is malformed.
func sharedParts(values []string) []string {
	list := strings.Split(strings.Join(values, ","), ",")
	if len(list) < 2 {
		return nil
	}
	var ids []string
	for i, part := range list {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok || !isPartID(id) {
			return nil
		}
		if _, err := strconv.ParseUint(strings.TrimSpace(tokens), 10, 64); err != nil {
			return nil
		}
		id = strings.TrimLeft(strings.ToLower(id), "0")
		if i < len(list)-1 && len(ids) < maxPromptParts && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func isPartID(id string) bool {
	isHex := func(r rune) bool { return r >= '0' && r <= '9' || r >= 'a' && r <= 'f' || r >= 'A' && r <= 'F' }
	return id != "" && len(id) <= maxPartIDBytes && !strings.ContainsFunc(id, func(r rune) bool { return !isHex(r) })
}
