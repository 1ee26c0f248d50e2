// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lynxramp.org/event"
	"lynxramp.org/heldmem"
)

const (
	// blockBytes is the unit in which a response is held; also the unit in which a caller's progress is seen.
	blockBytes = 16 << 10
	// floorBlocks is what each response may hold without regard to the account's limit: one block that is
	// written and one that is filled.
	floorBlocks = 2
	// resumeFraction is the fraction of the buffer down to which a caller must read before the endpoint is read again.
	resumeFraction = 0.75
)

// blockPool has blocks that are not in use.
var blockPool = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// relay passes a response from the goroutine that reads the endpoint to its caller. While the caller keeps up, this
// goroutine writes to the caller itself. Once a write would wait for the caller, the response is held in blocks and
// written by a goroutine that exists until the caller has caught up.
type relay struct {
	memory  *heldMemory
	clock   event.Clock
	caller  *callerWriter
	control *http.ResponseController
	socket  *callerSocket

	changed chan struct{} // receives a value when the writer ends or makes room
	cut     chan struct{} // closed once the response is given up

	mu      sync.Mutex
	writing bool // the goroutine that writes exists; only it may use caller
	blocks  []block
	inUse   int               // blocks, with the one that is being written
	isFull  bool              // the buffer was full and has not been read down to resumeFraction
	held    *heldmem.Response // nil while the caller keeps up
	wait    *heldmem.Wait     // the request of held for a further block; nil if there is none
	err     error             // of writing to the caller
	isCut   bool
	// isDisconnected is set once the caller has disconnected while the writer may run.
	isDisconnected bool
	cancel         context.CancelFunc // cancels the request at its endpoint
	report         cutReport
	lastTook       time.Time

	// Used by the goroutine that reads the endpoint only.
	blocked      time.Duration // time for which the endpoint was left unread, less the time in which it was read
	blockedUntil time.Time
}

// block is a part of a response.
type block struct {
	data   *[blockBytes]byte
	length int
}

// cutReason is why a caller was cut.
type cutReason uint8

const (
	cutStalled     cutReason = iota // it took nothing for the write timeout
	cutBufferFull                   // its buffer was full and it took too little
	cutAccountFull                  // no memory was granted in time
	cutReclaimed                    // its memory was wanted
	cutStopping                     // the process stops and it took nothing
	cutReasons
)

// String returns the reason as used in logs and metrics.
func (r cutReason) String() string {
	return [...]string{"stalled", "buffer_full", "account_full", "reclaimed", "stopping"}[r]
}

// cutReport tells why a caller was cut and what it held then.
type cutReport struct {
	why     cutReason
	usage   heldmem.Usage
	blocked time.Duration
}

func newRelay(m *heldMemory, clock event.Clock, w *callerWriter, s *callerSocket) *relay {
	return &relay{
		memory: m, clock: clock, caller: w, control: http.NewResponseController(w), socket: s,
		changed: make(chan struct{}, 1), cut: make(chan struct{}),
	}
}

// pass writes p to the caller, or holds a copy of it. It waits if neither is possible.
func (b *relay) pass(ctx context.Context, p []byte) error {
	if !b.isWriting() && b.socket.accepts(len(p)) {
		return b.writeDirectly(p)
	}
	for {
		n, granted, err := b.store(p)
		if p = p[n:]; err != nil || len(p) == 0 {
			return err
		}
		if err := b.await(ctx, granted); err != nil {
			return err
		}
	}
}

func (b *relay) writeDirectly(p []byte) error {
	if err := b.writeAndFlush(p); err != nil {
		return b.fail(err)
	}
	return nil
}

func (b *relay) writeAndFlush(p []byte) error {
	if _, err := b.caller.Write(p); err != nil {
		return err
	}
	return b.control.Flush()
}

func (b *relay) isWriting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writing
}

// store copies as much of p as there is room for into blocks. If the account must grant more memory first, it returns
// the channel that is closed then.
func (b *relay) store(p []byte) (stored int, granted <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for stored < len(p) {
		if b.err != nil {
			return stored, nil, b.err
		}
		b.startWriting()
		if len(b.blocks) == 0 || b.blocks[len(b.blocks)-1].length == blockBytes {
			if !b.addBlock() {
				return stored, b.grantedLocked(), nil
			}
		}
		last := &b.blocks[len(b.blocks)-1]
		n := copy(last.data[last.length:], p[stored:])
		last.length += n
		stored += n
	}
	return stored, nil, nil
}

// startWriting starts the goroutine that writes, unless it runs.
func (b *relay) startWriting() {
	if b.writing {
		return
	}
	b.writing = true
	b.lastTook = time.Now()
	b.held = b.open(heldmem.KindStream, floorBlocks*blockBytes)
	go b.write()
}

// open accounts for the response from now on. The caller holds the lock.
func (b *relay) open(k heldmem.Kind, floor int64) *heldmem.Response {
	var r *heldmem.Response
	cut := func() {
		b.mu.Lock() // r is set once the lock is free
		defer b.mu.Unlock()
		b.reclaimLocked(r)
	}
	r = b.memory.account.Open(b.clock.Now(), k, floor, callerSendBuffer+endpointReceiveBuffer, cut)
	return r
}

// addBlock adds an empty block if the limits allow it.
func (b *relay) addBlock() bool {
	if b.inUse >= floorBlocks && !b.growthAllowed() {
		return false
	}
	b.inUse++
	b.blocks = append(b.blocks, block{data: blockPool.Get().(*[blockBytes]byte)})
	return true
}

func (b *relay) growthAllowed() bool {
	if b.inUse >= b.memory.maxResponseBlocks {
		b.isFull = true
	}
	if b.isFull {
		return false
	}
	if b.wait == nil {
		b.wait = b.held.Hold(blockBytes)
	}
	if b.wait == nil {
		return true
	}
	select {
	case <-b.wait.Granted():
		b.wait = nil
		return true
	default:
		return false
	}
}

func (b *relay) grantedLocked() <-chan struct{} {
	if b.wait == nil {
		return nil
	}
	return b.wait.Granted()
}

// await waits until there may be room. The endpoint is not read meanwhile, so the time is limited.
func (b *relay) await(ctx context.Context, granted <-chan struct{}) error {
	began := time.Now()
	b.blocked = max(0, b.blocked-began.Sub(b.blockedUntil))
	defer func() {
		b.blockedUntil = time.Now()
		b.blocked += b.blockedUntil.Sub(began)
	}()
	end := began.Add(b.memory.patience - b.blocked)
	for {
		reclaimed := b.memory.account.Reclaim(b.clock.Now(), 0)
		if reclaimed == 0 && b.isOverdue() {
			b.giveUp(granted, b.blocked+time.Since(began))
		}
		timer := time.NewTimer(min(reclaimInterval, time.Until(end)))
		select {
		case <-granted:
		case <-b.changed:
		case <-b.cut:
			timer.Stop()
			return errCallerTooSlow
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
			if time.Now().Before(end) {
				continue
			}
			b.giveUp(granted, b.blocked+time.Since(began))
			return errCallerTooSlow
		}
		timer.Stop()
		return nil
	}
}

// isOverdue reports whether the caller has taken too little for longer than the limits allow.
func (b *relay) isOverdue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held != nil && b.held.Usage(b.clock.Now()).Overdue > 0
}

// giveUp cuts the caller after its endpoint was left unread for too long.
func (b *relay) giveUp(granted <-chan struct{}, blocked time.Duration) {
	why := cutBufferFull
	if granted != nil {
		why = cutAccountFull
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutLocked(why)
	b.report.blocked = blocked
}

// reclaimLocked cuts the caller because its memory is wanted, unless it has caught up meanwhile.
func (b *relay) reclaimLocked(r *heldmem.Response) {
	if r != nil && b.held == r {
		b.cutLocked(cutReclaimed)
	}
}

func (b *relay) cutLocked(why cutReason) {
	if b.isCut {
		return
	}
	b.isCut = true
	b.err = errCallerTooSlow
	b.report.why = why
	if b.held != nil {
		b.report.usage = b.held.Usage(b.clock.Now())
	}
	close(b.cut)
	if b.cancel != nil {
		b.cancel()
	}
	b.socket.discardOnClose()
	b.caller.interrupt()
}

// cutReport returns why the caller was cut; false if it was not.
func (b *relay) cutReport() (cutReport, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report, b.isCut
}

// setCancel sets what cancels the request at its endpoint if the caller is cut.
func (b *relay) setCancel(cancel context.CancelFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancel = cancel
}

// fail records an error of writing to the caller and returns the first one. A write that timed out cuts the caller.
func (b *relay) fail(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failLocked(err)
	return b.err
}

func (b *relay) failLocked(err error) {
	switch {
	case b.err != nil:
	case b.isDisconnected:
		b.err = errCallerDisconnected
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.cutLocked(cutStalled)
	default:
		b.err = errors.Wrap(errCallerWrite, err.Error())
	}
}

// write writes the blocks to the caller until it has caught up or fails.
func (b *relay) write() {
	for {
		next, ok := b.take()
		if !ok {
			return
		}
		b.wrote(next, b.writeAndFlush(next.data[:next.length]))
	}
}

// take returns the next block. If there is none or a write failed, the writer ends.
func (b *relay) take() (block, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil || len(b.blocks) == 0 {
		b.endWriting()
		return block{}, false
	}
	next := b.blocks[0]
	b.blocks = b.blocks[1:]
	return next, true
}

// wrote records the end of a write and releases the block.
func (b *relay) wrote(written block, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.failLocked(err)
		return // the writer ends
	}
	b.lastTook = time.Now()
	b.held.Took(b.clock.Now(), int64(written.length))
	blockPool.Put(written.data)
	if b.inUse--; b.inUse >= floorBlocks {
		b.held.Release(blockBytes)
	}
	if b.isFull && float64(b.inUse) <= resumeFraction*float64(b.memory.maxResponseBlocks) {
		b.isFull = false
		b.signal()
	}
}

// endWriting releases everything that is held.
func (b *relay) endWriting() {
	for _, rest := range b.blocks {
		blockPool.Put(rest.data)
	}
	b.blocks, b.inUse, b.isFull = nil, 0, false
	b.held.Close()
	b.held, b.wait = nil, nil
	b.writing = false
	b.signal()
}

func (b *relay) signal() {
	select {
	case b.changed <- struct{}{}:
	default: // a value is there already
	}
}

// flush waits until the caller has taken everything. While the process stops, a caller that takes nothing is cut.
func (b *relay) flush(ctx context.Context, stopping func() bool) error {
	if !b.isWriting() {
		return b.error()
	}
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for b.isWriting() {
		select {
		case <-b.changed:
		case <-ctx.Done():
			return b.endDisconnected()
		case <-ticker.C:
			if stopping() {
				b.cutIfIdle()
			}
		}
	}
	return b.error()
}

// endDisconnected ends the writer after the caller has disconnected, and waits for its end. A caller may have done so because it has
// taken everything, before the last write has returned; then there is no error.
func (b *relay) endDisconnected() error {
	b.mu.Lock()
	b.isDisconnected = true
	b.mu.Unlock()
	b.caller.interrupt()
	for b.isWriting() {
		<-b.changed
	}
	return b.error()
}

func (b *relay) cutIfIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writing && time.Since(b.lastTook) >= flushIdleTimeout {
		b.cutLocked(cutStopping)
	}
}

func (b *relay) error() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// passWhole writes a complete response that is in memory. bytes is what the account holds for it; release releases it
// there. The response is given up like a stream if its memory is wanted.
func (b *relay) passWhole(p []byte, bytes int64, release func()) error {
	if b.socket.accepts(len(p)) {
		_, err := b.caller.Write(p)
		return err
	}
	b.mu.Lock()
	b.held = b.open(heldmem.KindResponse, bytes)
	b.mu.Unlock()
	release()
	defer b.endWhole()
	for len(p) > 0 {
		n, err := b.caller.Write(p[:min(len(p), blockBytes)])
		if err != nil {
			return b.fail(err)
		}
		p = p[n:]
		b.held.Took(b.clock.Now(), int64(n))
	}
	return nil
}

func (b *relay) endWhole() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held.Close()
	b.held = nil
}

// close ends the writer, if it runs, and waits for its end. The caller's connection cannot be used afterwards then.
func (b *relay) close() {
	if !b.isWriting() {
		return
	}
	b.mu.Lock()
	if b.err == nil {
		b.err = errCallerDisconnected
	}
	b.mu.Unlock()
	b.caller.interrupt()
	for b.isWriting() {
		<-b.changed
	}
}
