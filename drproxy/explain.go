package drproxy

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drhttp"
)

// Explanation says where a request would go now, and why. Times are in milliseconds.
type Explanation struct {
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	Account string `json:"account,omitempty"`
	// Refusal says why the request would be refused at once, or why it would wait.
	Refusal string `json:"refusal,omitempty"`
	// Candidates are in the order of their delay, Excluded hold the model but take no
	// request now.
	Candidates []ExplainedCandidate `json:"candidates"`
	Excluded   []ExplainedExclusion `json:"excluded"`
}

// ExplainedCandidate is a runner that may get the request.
type ExplainedCandidate struct {
	Runner       string  `json:"runner"`
	Zone         string  `json:"zone"`
	Probability  float64 `json:"probability"`
	DelayMS      float64 `json:"delay-ms"`
	WaitMS       float64 `json:"wait-ms"`
	ZoneMS       float64 `json:"zone-ms"`
	FailureMS    float64 `json:"failure-ms"`
	ApartMS      float64 `json:"apart-ms"`
	SavedMS      float64 `json:"saved-ms"`
	KeptTokens   int     `json:"kept-tokens"`
	Load         int     `json:"load"`
	UnreadTokens int     `json:"unread-tokens"`
}

// ExplainedExclusion is a runner that holds the model but takes no request now.
type ExplainedExclusion struct {
	Runner  string  `json:"runner"`
	Zone    string  `json:"zone"`
	Why     string  `json:"why"`
	PauseMS float64 `json:"pause-ms,omitempty"`
}

// Explain reads the header of a request as a client would send it, and returns where it
// would go now. It sends nothing and charges no account, whose limit it does not regard.
// A block of a single request is found only if the request has no body.
// The error says that the header cannot be read.
func (s *Server) Explain(header io.Reader) (Explanation, error) {
	x := &exchange{server: s, start: s.Clock.Now()}
	if err := drhttp.ReadRequestHeader(&x.header, bufio.NewReader(header)); err != nil {
		return Explanation{}, err
	}
	var err error
	if x.call, err = s.Wire.Call(&x.header); err != nil {
		return Explanation{Refusal: "malformed: " + err.Error()}, nil
	}
	r, ok := x.resolve()
	var e Explanation
	if x.route != nil {
		e.Route, e.Service = x.route.Name, x.service.Name
	}
	if x.account != nil {
		e.Account = x.account.Name
	}
	if ok {
		r, ok = x.mayAttempt(newRetryState())
	}
	if !ok {
		e.Refusal = strings.TrimSpace(r.reason + " " + r.detail)
		return e, nil
	}
	x.explainRunners(&e)
	return e, nil
}

// explainRunners adds the runners to an explanation.
func (x *exchange) explainRunners(e *Explanation) {
	candidates := x.candidates()
	request := x.balancerRequest(nil)
	weighed := drbalancer.Weigh(request, candidates)
	for _, w := range weighed {
		e.Candidates = append(e.Candidates, ExplainedCandidate{
			Runner: w.Runner.ID, Zone: w.Runner.Zone, Probability: w.Probability, DelayMS: inMS(w.Estimate.Delay()), WaitMS: inMS(w.Estimate.Wait),
			ZoneMS: inMS(w.Estimate.Zone), FailureMS: inMS(w.Estimate.Failure), ApartMS: inMS(w.Estimate.Apart), SavedMS: inMS(w.Estimate.Saved),
			KeptTokens: w.Estimate.KeptTokens, Load: w.Load, UnreadTokens: w.UnreadTokens,
		})
	}
	if weighed == nil {
		for _, c := range candidates {
			e.Candidates = append(e.Candidates, ExplainedCandidate{Runner: c.Runner.ID, Zone: c.Runner.Zone, Load: c.Load})
		}
	}
	for _, v := range x.server.View.Excluded(x.replica()) {
		e.Excluded = append(e.Excluded, ExplainedExclusion{Runner: v.Runner, Zone: v.Zone, Why: v.Why, PauseMS: inMS(v.PauseLeft)})
	}
	if len(candidates) == 0 {
		e.Refusal = "no runner takes requests for it now: a request for a model waits, any other is refused"
	}
}

func inMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
