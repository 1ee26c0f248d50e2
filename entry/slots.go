// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"lynxramp.org/event"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/once"
	"lynxramp.org/rpc"
	"lynxramp.org/slot"
)

// Times and sizes of the calls to slots.
const (
	dialTimeout  = time.Second
	callTimeout  = 2 * time.Second
	ackEvery     = 100 * time.Millisecond
	ackBytes     = 256 << 10
	idlePerSlot  = 64
	idleSlotTime = 30 * time.Second
)

// slotClient calls slots and gathers acknowledgements for them.
type slotClient struct {
	http *http.Client
	log  *zap.Logger

	mu   sync.Mutex
	acks map[string][]slot.Ack // by slot address
	kick chan struct{}
}

func newSlotClient(key string, log *zap.Logger) *slotClient {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerSlot,
		IdleConnTimeout:     idleSlotTime,
		DisableCompression:  true,
	}
	return &slotClient{
		http: &http.Client{Transport: rpc.WithKey(key, transport)},
		log:  log,
		acks: make(map[string][]slot.Ack),
		kick: make(chan struct{}, 1),
	}
}

// errNotSent says that the slot could not be reached: it has seen nothing.
var errNotSent = errors.New("the slot cannot be reached")

// offer sends a request to the slot of a grant. The response's body is the
// answer.
func (c *slotClient) offer(ctx context.Context, q *request, d Decision) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Grant.Address+"/v1/run", nil)
	if err != nil {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	h := r.Header
	slot.Wrap(h, q.header)
	h.Set(slot.HeaderDispatch, string(q.dispatch()))
	h.Set(slot.HeaderIncarnation, strconv.FormatUint(d.Grant.Incarnation, 10))
	h.Set(slot.HeaderEpoch, strconv.FormatUint(uint64(d.Epoch), 10))
	h.Set(slot.HeaderDeadline, strconv.FormatInt(time.Until(q.deadline).Milliseconds(), 10))
	h.Set(slot.HeaderMethod, q.method)
	h.Set(slot.HeaderPath, q.path)
	h.Set(slot.HeaderPriority, strconv.Itoa(q.ticket.Rank))
	if q.ticket.NoRepeat {
		h.Set(slot.HeaderNoRepeat, "1")
	}
	if q.ticket.Key != "" {
		h.Set(slot.HeaderKeep, "1")
	}
	once.SetBody(r, bytes.NewReader(q.body), len(q.body))
	response, err := c.http.Do(r)
	if once.IsDialError(err) {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	return response, errors.Wrap(err, "offer")
}

// resume asks a slot for an answer again, from byte offset on. With adopt, a
// slot that was restarted asks its engine for it.
func (c *slotClient) resume(ctx context.Context, address string, id event.DispatchID, offset int, adopt bool) (*http.Response, error) {
	url := "http://" + address + "/v1/run/" + string(id) + "?offset=" + strconv.Itoa(offset)
	if adopt {
		url += "&" + slot.QueryAdopt
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "resume")
	}
	response, err := c.http.Do(r)
	return response, errors.Wrap(err, "resume")
}

// void asks a slot never to run an id. True is its promise that the id has not
// run in this incarnation and will not.
func (c *slotClient) void(ctx context.Context, g *rpc.Grant, id event.DispatchID) (bool, error) {
	h := http.Header{}
	h.Set(slot.HeaderIncarnation, strconv.FormatUint(g.Incarnation, 10))
	status, err := c.post(ctx, g.Address, "/v1/void/"+string(id), h, nil)
	return status == http.StatusNoContent, err
}

// cancel tells a slot that the caller of a request went away.
func (c *slotClient) cancel(address string, id event.DispatchID) {
	if _, err := c.post(context.Background(), address, "/v1/cancel/"+string(id), nil, nil); err != nil {
		c.log.Debug("cancel failed", zap.String("request", string(id)), logx.Err(err))
	}
}

func (c *slotClient) post(ctx context.Context, address, path string, h http.Header, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, path)
	}
	for name, values := range h {
		r.Header[name] = values
	}
	response, err := c.http.Do(r)
	if err != nil {
		return 0, errors.Wrap(err, path)
	}
	_, _ = io.Copy(io.Discard, response.Body) // so that the connection can be used again
	return response.StatusCode, errors.Wrap(response.Body.Close(), path)
}

// ack notes that the bytes of an answer up to offset are here. It is told to
// the slot together with others.
func (c *slotClient) ack(address string, a slot.Ack) {
	c.mu.Lock()
	c.acks[address] = append(c.acks[address], a)
	c.mu.Unlock()
	if a.Done {
		return
	}
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// sendAcks tells slots what was acknowledged, until ctx ends.
func (c *slotClient) sendAcks(ctx context.Context) {
	ticker := time.NewTicker(ackEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.kick:
		case <-ctx.Done():
			c.flushAcks(context.WithoutCancel(ctx))
			return
		}
		// A stop must not cut a call that has taken the acknowledgements.
		c.flushAcks(context.WithoutCancel(ctx))
	}
}

// flushAcks sends each slot its acknowledgements. What cannot be sent is
// dropped: the slot forgets the answers by itself after a while.
func (c *slotClient) flushAcks(ctx context.Context) {
	c.mu.Lock()
	acks := c.acks
	c.acks = make(map[string][]slot.Ack)
	c.mu.Unlock()
	var wait sync.WaitGroup
	for address, list := range acks {
		wait.Go(func() {
			body, err := json.Marshal(list)
			if err == nil {
				_, err = c.post(ctx, address, "/v1/acks", nil, body)
			}
			if err != nil {
				c.log.Debug("acks not sent", zap.String("slot", address), logx.Err(err))
			}
		})
	}
	wait.Wait()
}
