package drfleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

func deployment(t *testing.T) *drfleet.Deployment {
	target := []drfleet.Target{{Service: "llm", Weight: 1}}
	d, err := drfleet.NewDeployment(drfleet.Config{
		Routes: []drfleet.Route{
			{Name: "all", Host: "App.example", Prefix: "/", Targets: target},
			{Name: "ask", Host: "app.example", Prefix: "/ask/", Targets: target},
		},
		Services: []drfleet.Service{{Name: "llm"}},
		Accounts: []drfleet.Account{{Name: "a", Keys: []string{"k1", "k2"}, CountsTokens: true, PlainTokens: 200}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against routing a request by a shorter prefix than the best match, or
// to a route of another host.
func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	d := deployment(t)
	is.Equal(d.Route("app.example", "/ask/x").Name, "ask")
	is.Equal(d.Route("APP.example:8080", "/ask").Name, "all") // the prefix /ask/ does not match without its slash
	is.True(d.Route("other.example", "/ask/x") == nil)
}

// Guards against accepting a route without a target or with a target that does
// not exist: its requests would find no service.
func TestRouteNeedsService(t *testing.T) {
	is := is.New(t)
	_, err := drfleet.NewDeployment(drfleet.Config{Routes: []drfleet.Route{{Name: "r", Host: "h", Prefix: "/"}}})
	is.True(err != nil)
	_, err = drfleet.NewDeployment(drfleet.Config{
		Routes: []drfleet.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []drfleet.Target{{Service: "none", Weight: 1}}}},
	})
	is.True(err != nil)
}

// Guards against a key that selects another account, an empty key that selects
// any, and requests that are charged too few tokens.
func TestAccounts(t *testing.T) {
	is := is.New(t)
	d := deployment(t)
	a := d.Account("k2")
	is.Equal(a.Name, "a")
	is.True(d.Account("") == nil)
	is.Equal(a.Cost(&drfleet.Call{HasTokens: true, PromptTokens: 30, OutputTokens: 12}), 42.0)
	is.Equal(a.Cost(&drfleet.Call{}), 200.0)
}

// Guards against repeating requests on unsafe routes and on streams that cannot
// be resumed.
func TestIdempotent(t *testing.T) {
	is := is.New(t)
	is.True((&drfleet.Route{Kind: drfleet.Safe}).Idempotent())
	is.True(!(&drfleet.Route{Kind: drfleet.Unsafe}).Idempotent())
	is.True(!(&drfleet.Route{Kind: drfleet.Stream}).Idempotent())
	is.True((&drfleet.Route{Kind: drfleet.Stream, Resumable: true}).Idempotent())
}

// A route splits its requests among its services in proportion to their weights.
func ExampleRoute_Target() {
	r := drfleet.Route{Targets: []drfleet.Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	fmt.Println(r.Target(0.5), r.Target(0.95))
	// Output: old new
}
