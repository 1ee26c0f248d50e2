// SPDX-License-Identifier: MIT

// Package settings reads the YAML files of the daemons and the catalog.
//
// A file is read completely and all problems are reported together, each with its
// file, line and path: unknown keys, wrong types, invalid addresses, references to
// undefined names, overlapping rules. A process does not start on a file with
// problems.
package settings
