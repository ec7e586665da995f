// Package origins knows which software began a stream that its caller takes up again, at this
// entry or another one. Targets of several software versions may serve one service, what two
// versions write does not fit together, and targets do not check it.
//
// While one version of a service serves, a stream began at that version, and nothing is sent or
// stored for it. Otherwise an entry records the origin of each stream at two agents before the
// first event is relayed, and an entry that has to resume a stream asks the agents. A stream
// whose origin stays unknown is not resumed.
package origins

import (
	"maps"
	"slices"
	"time"

	"pumiceford/targets"
)

// maxWindow is the longest time for which the history is kept.
const maxWindow = 10 * time.Minute

// History records which software versions of each service were registered, and when. Times are
// those of a monotonic clock. It is not safe for concurrent use.
type History struct {
	services map[string]map[string]*presence // by service and version
	// since is the time from which the history is complete; valid if known is set.
	since time.Duration
	known bool
}

// presence is the time in which a version was registered.
type presence struct {
	first      time.Duration // it was not registered before
	seen       time.Duration // when it was first known to be registered
	last       time.Duration
	registered bool // still; last is then not used
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{services: make(map[string]map[string]*presence)}
}

// Observe records the instances that are registered now. Those that are new were not registered
// at the time before. It returns the services whose registered versions have changed, sorted.
func (h *History) Observe(before, now time.Duration, all []targets.Instance) (changed []string) {
	registered := make(map[targets.Software]bool)
	for _, in := range all {
		registered[in.Software()] = true
	}
	names := make(map[string]bool)
	for sw := range registered {
		p := h.presence(sw, before, now)
		if !p.registered {
			p.registered = true
			names[sw.Service] = true
		}
	}
	for service, versions := range h.services {
		for version, p := range versions {
			if p.registered && !registered[targets.Software{Service: service, Version: version}] {
				p.registered, p.last = false, now
				names[service] = true
			}
			if !p.registered && now-p.last > maxWindow {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Saw records instances that were registered at some time between before and now, also if they
// are not any more.
func (h *History) Saw(before, now time.Duration, all []targets.Instance) {
	for _, in := range all {
		h.presence(in.Software(), before, now).last = now
	}
}

// presence returns the presence of a version. One that is new was not registered at the time
// before, and is seen first at now.
func (h *History) presence(sw targets.Software, before, now time.Duration) *presence {
	versions := h.services[sw.Service]
	if versions == nil {
		versions = make(map[string]*presence)
		h.services[sw.Service] = versions
	}
	p := versions[sw.Version]
	if p == nil {
		p = &presence{first: before, seen: now}
		versions[sw.Version] = p
	}
	return p
}

// CompleteSince sets the time from which the history is complete.
func (h *History) CompleteSince(at time.Duration) {
	h.since, h.known = at, true
}

// Since returns the time from which the history is complete. It reports false while that is
// not known.
func (h *History) Since() (time.Duration, bool) {
	return h.since, h.known
}

// Versions returns the versions of a service that were registered at any time since from,
// sorted.
func (h *History) Versions(service string, from time.Duration) []string {
	var out []string
	for version, p := range h.services[service] {
		if p.registered || p.last >= from {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// SeenBefore returns the versions of a service that are registered and were known to be at a
// time, sorted.
func (h *History) SeenBefore(service string, at time.Duration) []string {
	var out []string
	for version, p := range h.services[service] {
		if p.registered && p.seen <= at {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// Sole returns the version of a service that alone was registered at any time in the window
// before now. It reports false if there were several, none, or the history does not go back
// that far.
func (h *History) Sole(now time.Duration, service string, window time.Duration) (string, bool) {
	return h.SoleBefore(now, service, window, 0)
}

// SoleBefore is like Sole, but leaves out the versions that appeared less than recent ago: it
// returns the version that was the only one before them.
func (h *History) SoleBefore(now time.Duration, service string, window, recent time.Duration) (string, bool) {
	if !h.covers(now, window) {
		return "", false
	}
	var older []string
	for _, version := range h.Versions(service, now-window) {
		if h.services[service][version].first <= now-recent {
			older = append(older, version)
		}
	}
	if len(older) != 1 {
		return "", false
	}
	return older[0], true
}

func (h *History) covers(now, window time.Duration) bool {
	return h.known && h.since <= now-window && window <= maxWindow
}

// Presence is a part of a history relative to the time at which it was exported.
type Presence struct {
	Software          targets.Software
	First, Seen, Last time.Duration // time since then; Last is 0 if it is still registered
}

// Export returns the history relative to now.
func (h *History) Export(now time.Duration) []Presence {
	var out []Presence
	for service, versions := range h.services {
		for version, p := range versions {
			e := Presence{Software: targets.Software{Service: service, Version: version}, First: now - p.first, Seen: now - p.seen}
			if !p.registered {
				e.Last = max(now-p.last, time.Millisecond)
			}
			out = append(out, e)
		}
	}
	return out
}

// Merge adds what another process exported at now. Its history was complete from since, and
// up to confirmed. It is used only if it reaches the beginning of this one, and reports whether
// this history goes back further with it.
func (h *History) Merge(now, since, confirmed time.Duration, all []Presence) bool {
	if !h.known || confirmed < h.since || since >= h.since {
		return false
	}
	for _, e := range all {
		// One that is registered there and not here has left meanwhile, or is not known here yet.
		p := h.presence(e.Software, now-e.First, now-e.Seen)
		p.first, p.seen = min(p.first, now-e.First), min(p.seen, now-e.Seen)
		p.last = max(p.last, now-e.Last)
	}
	h.since = since
	return true
}
