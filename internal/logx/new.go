// SPDX-License-Identifier: MIT

package logx

import (
	"io"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines of at least the given level to w.
func New(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.SecondsDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core), nil
}
