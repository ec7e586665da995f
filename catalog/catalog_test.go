package catalog_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pumiceford/catalog"
)

func route(host, prefix string) catalog.Route {
	return catalog.Route{Name: host + prefix, Host: host, PathPrefix: prefix, Shares: []catalog.Share{{Service: "s", Weight: 1}}}
}

// Guards against a node that serves a dropped route again: versions arrive late, twice and
// out of order, from the store and from peers.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var cur catalog.Current
		highest := int64(-1)
		for _, v := range rapid.SliceOfN(rapid.Int64Range(0, 20), 1, 50).Draw(rt, "versions") {
			newer := cur.SetIfNewer(catalog.New(v, catalog.Limits{}, nil, nil))
			if newer != (v > highest) {
				rt.Fatalf("version %d after %d: put in force: %v", v, highest, newer)
			}
			highest = max(highest, v)
			if got := cur.Get().Version; got != highest {
				rt.Fatalf("version %d in force, want %d", got, highest)
			}
		}
	})
}

func TestMatchesLongestPrefixOfHost(t *testing.T) {
	c := catalog.New(1, catalog.Limits{}, nil, []catalog.Route{route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "a.example/x/"},
		{"a.example", "/x/y/1", "a.example/x/y/"},
		{"A.Example:8080", "/x/y/", "a.example/x/y/"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/z", "b.example/"},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := c.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s matches %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// A request ID always gets the same service, and the services get their shares.
func TestServiceIsStableAndFollowsShares(t *testing.T) {
	r := catalog.Route{Shares: []catalog.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	count := make(map[string]int)
	const ids = 5000
	for i := range ids {
		id := fmt.Sprint("request", i)
		s := r.Service(id)
		if s != r.Service(id) {
			t.Fatal("one request ID got two services")
		}
		count[s]++
	}
	if b := count["b"]; count["c"] > 0 || b < ids/20 || b > ids*3/20 {
		t.Fatalf("requests by service %v, want about 90 %% a, 10 %% b, no c", count)
	}
	if got := (&catalog.Route{Shares: []catalog.Share{{Service: "z"}}}).Service("x"); got != "z" {
		t.Fatalf("single share without weight: got service %q, want z", got)
	}
}

func TestOnlyIdempotentAndResumableRoutesAreRetryable(t *testing.T) {
	var retryable []string
	for _, r := range []catalog.Route{
		{Name: "idempotent", Kind: catalog.Idempotent}, {Name: "other", Kind: catalog.NonIdempotent},
		{Name: "stream", Kind: catalog.Streaming}, {Name: "resumable", Kind: catalog.Streaming, Resumable: true},
	} {
		if r.Retryable() {
			retryable = append(retryable, r.Name)
		}
	}
	if !slices.Equal(retryable, []string{"idempotent", "resumable"}) {
		t.Fatalf("retryable: got %v, want idempotent and resumable", retryable)
	}
}

// Guards against a stream that is taken for one of the service that its route has now: routes
// move to other services, and requests fall to other routes when one is added or removed.
func TestChangedSharesFindsRequestsThatMoved(t *testing.T) {
	t.Parallel()
	to := func(prefix, service string) catalog.Route {
		r := route("h", prefix)
		r.Shares = []catalog.Share{{Service: service, Weight: 1}}
		return r
	}
	build := func(routes ...catalog.Route) *catalog.Catalog { return catalog.New(1, catalog.Limits{}, nil, routes) }
	before := build(to("/", "a"), to("/x/", "b"), to("/y/", "a"))
	for name, tc := range map[string]struct {
		now  *catalog.Catalog
		want []string // prefixes
	}{
		"unchanged":        {now: build(to("/", "a"), to("/x/", "b"), to("/y/", "a"))},
		"moved":            {now: build(to("/", "a"), to("/x/", "a"), to("/y/", "a")), want: []string{"/x/"}},
		"removed":          {now: build(to("/", "a"), to("/y/", "a")), want: []string{"/"}},
		"removed, no move": {now: build(to("/", "a"), to("/x/", "b"))},
		"added":            {now: build(to("/", "a"), to("/x/", "b"), to("/y/", "a"), to("/y/z/", "b")), want: []string{"/y/z/"}},
	} {
		var got []string
		for _, id := range tc.now.ChangedShares(before) {
			got = append(got, id.PathPrefix)
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}
