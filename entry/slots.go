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
	"lynxramp.org/internal/bounded"
	"lynxramp.org/internal/logx"
	"lynxramp.org/internal/once"
	"lynxramp.org/rpc"
	"lynxramp.org/slot"
)

// Timeouts and limits of the calls to slots.
const (
	dialTimeout = time.Second
	// maxDiscarded is the most that is read of the body of a response whose status is enough, in bytes.
	maxDiscarded        = 4 << 10
	callTimeout         = 2 * time.Second
	ackInterval         = 100 * time.Millisecond
	ackThreshold        = 256 << 10
	maxIdleConnsPerSlot = 64
	idleConnTimeout     = 30 * time.Second
)

// slotClient calls slots and batches acknowledgements for them.
type slotClient struct {
	http *http.Client
	log  *zap.Logger

	mu   sync.Mutex
	acks map[string][]slot.Ack // by slot address
	wake chan struct{}
}

func newSlotClient(key string, log *zap.Logger) *slotClient {
	transport := bounded.NewTransport(&net.Dialer{Timeout: dialTimeout})
	transport.MaxIdleConnsPerHost = maxIdleConnsPerSlot
	transport.IdleConnTimeout = idleConnTimeout
	return &slotClient{
		http: &http.Client{Transport: rpc.WithKey(key, transport)},
		log:  log,
		acks: make(map[string][]slot.Ack),
		wake: make(chan struct{}, 1),
	}
}

// errNotSent is returned when no connection to the slot could be made, so the slot
// has received nothing.
var errNotSent = errors.New("slot is unreachable")

// offer sends a request to the slot of a grant. The body of the returned response is
// the response of the endpoint.
func (c *slotClient) offer(ctx context.Context, q *request, d Decision) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Grant.Address+"/v1/run", nil)
	if err != nil {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	h := r.Header
	slot.WrapHeaders(h, q.header)
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

// resume requests a response from byte offset on. With adopt, a slot that has no
// record of the request, after a restart, asks its engine for the response.
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

// void asks a slot never to start an id. True means that the id did not start in
// this incarnation of the slot and will not.
func (c *slotClient) void(ctx context.Context, g *rpc.Grant, id event.DispatchID) (bool, error) {
	h := http.Header{}
	h.Set(slot.HeaderIncarnation, strconv.FormatUint(g.Incarnation, 10))
	status, err := c.post(ctx, g.Address, "/v1/void/"+string(id), h, nil)
	return status == http.StatusNoContent, err
}

// cancel cancels a request at its slot, since its caller has disconnected.
func (c *slotClient) cancel(address string, id event.DispatchID) {
	if _, err := c.post(context.Background(), address, "/v1/cancel/"+string(id), nil, nil); err != nil {
		c.log.Debug("failed to cancel request at slot", zap.String("request", string(id)), logx.Err(err))
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
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscarded)) // a body that is read to its end lets the connection be reused
	return response.StatusCode, errors.Wrap(response.Body.Close(), path)
}

// ack records that the entry has a response up to an offset, and sends this to the
// slot with the next batch. The last acknowledgement of a response is not urgent.
func (c *slotClient) ack(address string, a slot.Ack) {
	c.mu.Lock()
	c.acks[address] = append(c.acks[address], a)
	c.mu.Unlock()
	if a.Done {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// sendAcks sends the acknowledgements to slots until ctx ends.
func (c *slotClient) sendAcks(ctx context.Context) {
	ticker := time.NewTicker(ackInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.wake:
		case <-ctx.Done():
			c.flushAcks(context.WithoutCancel(ctx))
			return
		}
		// Shutdown must not interrupt a call whose acknowledgements left c.acks.
		c.flushAcks(context.WithoutCancel(ctx))
	}
}

// flushAcks sends each slot its acknowledgements. They are dropped on failure: the
// slot deletes the responses by itself after a timeout.
func (c *slotClient) flushAcks(ctx context.Context) {
	c.mu.Lock()
	acks := c.acks
	c.acks = make(map[string][]slot.Ack)
	c.mu.Unlock()
	var wg sync.WaitGroup
	for address, list := range acks {
		wg.Go(func() {
			body, err := json.Marshal(list)
			if err == nil {
				_, err = c.post(ctx, address, "/v1/acks", nil, body)
			}
			if err != nil {
				c.log.Debug("failed to send acks to slot; dropping them", zap.String("slot", address), logx.Err(err))
			}
		})
	}
	wg.Wait()
}
