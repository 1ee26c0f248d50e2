// SPDX-License-Identifier: MIT

// Package logx creates loggers and has helpers for log fields.
package logx

import "go.uber.org/zap"

// Err returns an error as a field "error" of one line, and no field for nil.
// zap.Error would add the stack trace that errors carry.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Cause returns an error as a field "cause" of one line, and no field for nil.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("cause", err.Error())
}
