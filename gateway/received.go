// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/heldmem"
	"lynxramp.org/internal/logx"
)

// This file accounts for what is held of endpoints' responses, in every deployment. Without HeldMemory the account has
// nothing else.

// defaultAccountBytes is the limit of the account where Config sets none, in bytes.
const defaultAccountBytes = 32 << 20

// newAccount returns the account of a gateway: that of held memory, or one for responses only.
func newAccount(c Config, m *heldMemory) *heldmem.Account {
	if m != nil {
		return m.account
	}
	limit := c.AccountBytes
	if limit <= 0 {
		limit = defaultAccountBytes
	}
	return heldmem.NewAccount(heldmem.Limits{Total: limit})
}

// hold holds n bytes. If the limit does not allow it, it cuts overdue callers and waits for memory until the timeout.
func (g *Gateway) hold(ctx context.Context, k heldmem.Kind, n int64, timeout time.Duration) bool {
	if g.account.TryHold(k, n) {
		return true
	}
	if k == heldmem.KindBody && g.account.FullOfBodies(n) {
		return false
	}
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(holdPoll) {
		g.account.Reclaim(g.agent.clock.Now(), n)
		if g.account.TryHold(k, n) {
			return true
		}
	}
	return false
}

// holdHead returns a function that holds bytes for the heads of a response until the call ends.
func (c *call) holdHead(ctx context.Context) func(int64) bool {
	return func(n int64) bool {
		if !c.gateway.hold(ctx, heldmem.KindHead, n, unreadPatience) {
			return false
		}
		c.headBytes += n
		return true
	}
}

// holdEvent holds bytes for the events of a stream until the call ends.
func (c *call) holdEvent(n int64) bool {
	if !c.gateway.hold(c.r.Context(), heldmem.KindEvent, n, unreadPatience) {
		return false
	}
	c.eventBytes += n
	return true
}

// releaseReceived releases what is held of the responses to a call.
func (c *call) releaseReceived() {
	if c.headBytes > 0 {
		c.gateway.account.Release(heldmem.KindHead, c.headBytes)
		c.headBytes = 0
	}
	if c.eventBytes > 0 {
		c.gateway.account.Release(heldmem.KindEvent, c.eventBytes)
		c.eventBytes = 0
	}
	c.releaseResponse()
}

// reportRefused counts and logs a response that was not read on because of a limit.
func (c *call) reportRefused(a *attempt) {
	refused := &refusedResponse{why: refusedMemory}
	if !errors.As(a.err, &refused) && !errors.Is(a.err, errNoMemory) {
		return
	}
	g := c.gateway
	g.meters.refusedResponses(refused.why).Inc()
	if !g.refusedLimiter.Allow(time.Now(), 1) {
		return
	}
	g.log.Warn("response refused", zap.String("request", c.callerID), zap.String("id", string(c.id)),
		zap.String("endpoint", string(a.decision.Endpoint)), zap.String("address", a.decision.Address), zap.Stringer("why", refused.why),
		zap.Int("read", refused.read), zap.Int("limit", refused.limit), zap.Int64("account_bytes", g.account.Limit()),
		zap.Int("attempt", c.attempts), logx.Cause(a.err))
}
