// SPDX-License-Identifier: MIT

// Package logx has fields for the log.
package logx

import "go.uber.org/zap"

// Err returns an error as a field of one line; without an error the field is
// left out. zap.Error would add the stack that errors carry.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Cause returns what an error rests on as a field of one line.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("cause", err.Error())
}
