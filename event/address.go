// SPDX-License-Identifier: MIT

package event

import "net/netip"

// Host returns the IP number of an address (IP:port); empty if it is none.
func Host(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}
