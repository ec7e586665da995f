package estimate

import (
	"math"
	"time"
)

// Weights of a line.
const (
	// priorSpread is the relative spread of sizes up to which a line through the origin is
	// assumed: observations of nearly the same size do not show how the figure grows.
	priorSpread = 0.1
	// initialSpread is the relative spread of a figure before it is known.
	initialSpread = 0.5
	// highQuantile is the number of standard deviations that one in twenty exceeds.
	highQuantile = 1.65
	// minShare is the smallest share of the average that a line predicts.
	minShare = 0.05
)

// line learns how a figure y grows with a size x, by the least squares of weighted
// observations. The figure never falls with the size.
type line struct {
	n                    float64 // observations, as far as they are counted
	x, y, xx, xy, spread float64 // averages; the spread is the squared relative error
}

// observe adds an observation. The weight is that of a new one once there are many.
func (l *line) observe(x, y, weight float64) {
	if l.n > 0 {
		if expected := l.mean(x); expected > 0 {
			miss := (y - expected) / expected
			l.spread += max(weight, 1/(l.n+1)) * (miss*miss - l.spread)
		}
	} else {
		l.spread = initialSpread * initialSpread
	}
	l.n = min(l.n+1, 1/weight)
	w := max(weight, 1/l.n)
	l.x += w * (x - l.x)
	l.y += w * (y - l.y)
	l.xx += w * (x*x - l.xx)
	l.xy += w * (x*y - l.xy)
}

// mean returns the expected figure at size x.
func (l *line) mean(x float64) float64 {
	if l.x <= 0 {
		return l.y
	}
	prior := square(priorSpread * l.x)
	slope := max((l.xy-l.x*l.y+prior*l.y/l.x)/(max(l.xx-l.x*l.x, 0)+prior), 0)
	return max(l.y+slope*(x-l.x), minShare*l.y)
}

// at returns the expected figure at size x and one that is seldom exceeded.
func (l *line) at(x float64) (mean, high float64) {
	spread := l.spread
	if l.n == 0 {
		spread = square(initialSpread)
	}
	mean = l.mean(x)
	return mean, mean * (1 + highQuantile*math.Sqrt(max(spread, 0)))
}

// estimate returns the figure at size x, in seconds, as a time at a target with a pace.
func (l *line) estimate(x, pace float64) Estimate {
	mean, high := l.at(x)
	unit := valid(pace) * float64(time.Second)
	return Estimate{
		Mean: time.Duration(min(max(mean*unit, 1), float64(maxEstimate))),
		High: time.Duration(min(max(high*unit, 1), float64(maxEstimate))),
	}
}

func square(x float64) float64 {
	return x * x
}

// class is what is learned of one class of work at the usual pace, in seconds and events.
type class struct {
	hold, first, gap, events line
	lastUsed                 uint64
}

// classes holds a bounded number of classes.
type classes struct {
	byKey map[classKey]*class
	uses  uint64
}

// known returns a class, nil if it has not been observed.
func (c *classes) known(k classKey) *class {
	return c.byKey[k]
}

// of returns a class and creates it if needed. If there are too many it drops the one
// observed longest ago.
func (c *classes) of(k classKey) *class {
	c.uses++
	found := c.byKey[k]
	if found == nil {
		if c.byKey == nil {
			c.byKey = make(map[classKey]*class)
		}
		if len(c.byKey) >= maxClasses {
			var oldest classKey
			least := uint64(math.MaxUint64)
			for other, v := range c.byKey {
				if v.lastUsed < least {
					oldest, least = other, v.lastUsed
				}
			}
			delete(c.byKey, oldest)
		}
		found = &class{}
		c.byKey[k] = found
	}
	found.lastUsed = c.uses
	return found
}
