// SPDX-License-Identifier: MIT

package event

import "net/netip"

// Host returns the IP address of an IP:port address; empty if it is not valid.
func Host(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}
