// SPDX-License-Identifier: MIT

package fake

import (
	"slices"

	"lynxramp.org/engine"
	"lynxramp.org/event"
)

// Profile is the speed and size of an engine. See DefaultProfile for usable values;
// the zero value is not one.
type Profile struct {
	PrefillPerSecond float64        // prompt tokens a second
	StepOverhead     event.Duration // fixed duration of an iteration
	SequenceCost     event.Duration // added to an iteration by each decoding sequence
	MaxBatch         int            // maximum number of sequences in a batch
	PrefillBudget    int            // prompt tokens computed per iteration
	CacheBlocks      int            // size of the prefix cache, in blocks
}

// DefaultProfile returns an engine of medium speed: 8,000 prompt tokens per second and
// about 50 output tokens per second and sequence in a batch of 16.
func DefaultProfile() Profile {
	return Profile{
		PrefillPerSecond: 8000,
		StepOverhead:     12 * event.Millisecond,
		SequenceCost:     500 * event.Microsecond,
		MaxBatch:         16,
		PrefillBudget:    2048,
		CacheBlocks:      4096,
	}
}

// Scaled returns p made faster by factor; 2 is twice as fast.
func (p Profile) Scaled(factor float64) Profile {
	p.PrefillPerSecond *= factor
	p.StepOverhead = event.Duration(float64(p.StepOverhead) / factor)
	p.SequenceCost = event.Duration(float64(p.SequenceCost) / factor)
	return p
}

// Job is a request to the model.
type Job struct {
	ID           string
	PromptTokens int
	OutputTokens int
	Priority     int      // higher runs first
	Prefix       []uint64 // hashes of the prompt's blocks, each of the whole prefix
}

// Output is one token of a job's response.
type Output struct {
	ID    string
	At    event.Time
	Index int // of the token, from 0
	Done  bool
}

// Totals counts the work of a model since its creation, in tokens and requests.
type Totals struct {
	Prefilled int // prompt tokens computed
	Cached    int // prompt tokens found in the prefix cache
	Wasted    int // prompt tokens computed for requests that were cancelled later
	Generated int // output tokens
	Finished  int // requests
	Cancelled int // requests
}

type sequence struct {
	job         Job
	arrival     int // order of arrival, for requests of equal priority
	prefillLeft int // prompt tokens not yet computed
	prefilled   int // prompt tokens computed
	emitted     int // output tokens
}

// Model simulates an engine with continuous batching, in event time. It is not safe
// for concurrent use.
type Model struct {
	profile  Profile
	slowdown float64
	cache    prefixCache
	waiting  []*sequence
	running  []*sequence
	stepEnd  event.Time
	stepping bool
	arrivals int
	totals   Totals
}

// NewModel returns an idle engine.
func NewModel(p Profile) *Model {
	return &Model{profile: p, slowdown: 1, cache: newPrefixCache(p.CacheBlocks)}
}

// SetSlowdown multiplies the duration of iterations that start from now on.
func (m *Model) SetSlowdown(factor float64) { m.slowdown = factor }

// Totals returns the totals of the work done so far.
func (m *Model) Totals() Totals { return m.totals }

// Load returns the engine's current load.
func (m *Model) Load() engine.Load {
	l := engine.Load{Waiting: len(m.waiting), Running: len(m.running), CacheUsed: m.cache.len()}
	for _, s := range m.waiting {
		l.PendingPrefill += s.job.PromptTokens
	}
	for _, s := range m.running {
		l.PendingPrefill += s.prefillLeft
	}
	return l
}

// Submit queues a job. It starts with the next iteration that has free capacity.
func (m *Model) Submit(now event.Time, j Job) {
	m.arrivals++
	m.waiting = append(m.waiting, &sequence{job: j, arrival: m.arrivals})
	if !m.stepping {
		m.startStep(now)
	}
}

// Cancel removes a job and reports whether it was queued or running. Its computed
// prompt tokens count as wasted.
func (m *Model) Cancel(id string) bool {
	match := func(s *sequence) bool { return s.job.ID == id }
	if i := slices.IndexFunc(m.waiting, match); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
		m.totals.Cancelled++
		return true
	}
	if i := slices.IndexFunc(m.running, match); i >= 0 {
		m.totals.Wasted += m.running[i].prefilled
		m.totals.Cancelled++
		m.running = slices.Delete(m.running, i, i+1)
		return true
	}
	return false
}

// Next returns the time of the model's next change; false when it is idle.
func (m *Model) Next() (event.Time, bool) { return m.stepEnd, m.stepping }

// Advance runs the model up to now and appends its output to out.
func (m *Model) Advance(now event.Time, out []Output) []Output {
	for m.stepping && m.stepEnd <= now {
		out = m.endStep(out)
	}
	return out
}

// CacheEvents returns the cache events since the last call.
func (m *Model) CacheEvents() []engine.CacheEvent { return m.cache.takeEvents() }

// Export returns the leading blocks that are cached.
func (m *Model) Export(blocks []uint64) []uint64 { return blocks[:m.cache.match(blocks)] }

// Import adds blocks to the prefix cache as if they had been computed here.
func (m *Model) Import(blocks []uint64) { m.cache.insert(blocks) }

func (m *Model) startStep(now event.Time) {
	m.admit()
	if len(m.running) == 0 {
		m.stepping = false
		return
	}
	prefill, decoding := m.planPrefill()
	length := m.profile.StepOverhead
	length += event.Duration(float64(prefill) / m.profile.PrefillPerSecond * float64(event.Second))
	length += m.profile.SequenceCost * event.Duration(decoding)
	m.stepEnd = now.Add(event.Duration(float64(length) * m.slowdown))
	m.stepping = true
}

// admit moves waiting jobs into the batch, highest priority first.
func (m *Model) admit() {
	free := m.profile.MaxBatch - len(m.running)
	if free <= 0 || len(m.waiting) == 0 {
		return
	}
	slices.SortFunc(m.waiting, func(a, b *sequence) int {
		if a.job.Priority != b.job.Priority {
			return b.job.Priority - a.job.Priority
		}
		return a.arrival - b.arrival
	})
	n := min(free, len(m.waiting))
	for _, s := range m.waiting[:n] {
		cached := min(m.cache.match(s.job.Prefix)*engine.BlockTokens, s.job.PromptTokens)
		m.totals.Cached += cached
		s.prefillLeft = s.job.PromptTokens - cached
		m.running = append(m.running, s)
	}
	m.waiting = slices.Delete(m.waiting, 0, n)
}

// planPrefill distributes the prefill budget of an iteration. It returns the number of
// tokens to prefill and of sequences that decode.
func (m *Model) planPrefill() (prefill, decoding int) {
	budget := m.profile.PrefillBudget
	for _, s := range m.running {
		if s.prefillLeft == 0 {
			decoding++
			continue
		}
		n := min(budget, s.prefillLeft)
		s.prefillLeft -= n
		s.prefilled += n
		budget -= n
		prefill += n
	}
	m.totals.Prefilled += prefill
	return prefill, decoding
}

func (m *Model) endStep(out []Output) []Output {
	at := m.stepEnd
	kept := m.running[:0]
	for _, s := range m.running {
		if s.prefillLeft > 0 {
			kept = append(kept, s)
			continue
		}
		if s.emitted == 0 {
			m.cache.insert(s.job.Prefix)
		}
		last := s.emitted+1 >= s.job.OutputTokens
		out = append(out, Output{ID: s.job.ID, At: at, Index: s.emitted, Done: last})
		s.emitted++
		m.totals.Generated++
		if last {
			m.totals.Finished++
			continue
		}
		kept = append(kept, s)
	}
	clear(m.running[len(kept):])
	m.running = kept
	m.startStep(at)
	return out
}
