// SPDX-License-Identifier: MIT

// Package settings reads the YAML files of the daemons and the catalog.
//
// A file is read whole and everything wrong with it is reported together, each
// finding with its file, line and path: unknown keys, wrong types, bad
// addresses, names that lead nowhere, rules that overlap. Nothing starts on a
// file with findings.
package settings
