// SPDX-License-Identifier: MIT

package box

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"lynxramp.org/entry"
	"lynxramp.org/rpc"
	"lynxramp.org/settings"
)

// links has the entry's link to the owner of each pool. It implements
// entry.Router.
type links struct {
	owner *entry.Link
}

func newLinks(s settings.Box, l life, c *http.Client, log *zap.Logger) *links {
	address := s.Control[0].Address
	scheduler := rpc.NewSchedulerProtobufClient("http://"+address, c)
	return &links{owner: entry.NewLink(s.ID, uint64(l), scheduler, log)}
}

// Link implements entry.Router.
func (l *links) Link(string) *entry.Link { return l.owner }

func (l *links) run(ctx context.Context) { l.owner.Run(ctx) }
