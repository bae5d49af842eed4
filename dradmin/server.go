package dradmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtimeline"
	"github.com/dotterelridge/dotterelridge/drverdict"
)

const (
	// maxBody bounds a change: 3,340 models and adapters take about 1 MiB.
	maxBody = 16 << 20
	// requestTimeout bounds the work for one request. A change waits for the
	// log, which may be slow.
	requestTimeout = 15 * time.Second
	idleTimeout    = time.Minute
)

// Config configures a Server.
type Config struct {
	Backend Backend
	Clock   drclock.Clock
	// OperatorTokens admit operators. Health, readiness and metrics need none.
	OperatorTokens []string
}

// Server is the admin HTTP server.
type Server struct {
	backend Backend
	clock   drclock.Clock
	tokens  [][sha256.Size]byte
	http    *fasthttp.Server
}

// New returns a server; connections are given to ServeConn.
func New(c Config) *Server {
	s := &Server{backend: c.Backend, clock: c.Clock}
	for _, t := range c.OperatorTokens {
		s.tokens = append(s.tokens, sha256.Sum256([]byte(t)))
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    maxBody,
		ReadTimeout:           requestTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(c net.Conn) {
	if err := s.http.ServeConn(c); err != nil {
		log.WithField("event", "admin-connection-ended").WithError(err).Debug("")
	}
}

func (s *Server) handle(rc *fasthttp.RequestCtx) {
	switch path := string(rc.Path()); path {
	case "/healthz":
		rc.SetBodyString("ok\n")
	case "/readyz":
		s.ready(rc)
	case "/metrics":
		rc.SetContentType("text/plain; version=0.0.4")
		if err := s.backend.WriteMetrics(rc); err != nil {
			fail(rc, fasthttp.StatusInternalServerError, err)
		}
	default:
		if !s.authorized(rc) {
			rc.Response.Header.Set("WWW-Authenticate", "Bearer")
			fail(rc, fasthttp.StatusUnauthorized, drverdict.New(drverdict.NotRun, drverdict.InvalidKey, "operator token is missing or unknown"))
			return
		}
		s.operate(rc, path)
	}
}

func (s *Server) operate(rc *fasthttp.RequestCtx, path string) {
	ctx, cancel := drclock.WithTimeout(context.Background(), s.clock, requestTimeout)
	defer cancel()
	switch method := string(rc.Method()); {
	case path == "/v1/status" && method == fasthttp.MethodGet:
		reply(rc, s.backend.Status())
	case path == "/v1/objects" && method == fasthttp.MethodGet:
		o, err := s.backend.Objects()
		if err != nil {
			fail(rc, fasthttp.StatusInternalServerError, err)
			return
		}
		reply(rc, o)
	case path == "/v1/in-force" && method == fasthttp.MethodGet:
		reply(rc, s.backend.InForce(ctx))
	case path == "/v1/timeline" && method == fasthttp.MethodGet:
		s.timeline(ctx, rc)
	case path == "/v1/changes" && method == fasthttp.MethodPost:
		s.change(ctx, rc)
	default:
		fail(rc, fasthttp.StatusNotFound, drverdict.New(drverdict.NotRun, drverdict.UnknownRoute, "no admin route %s %s", method, path))
	}
}

func (s *Server) ready(rc *fasthttp.RequestCtx) {
	if ok, reason := s.backend.Ready(); !ok {
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		rc.SetBodyString(reason + "\n")
		return
	}
	rc.SetBodyString("ready\n")
}

func (s *Server) change(ctx context.Context, rc *fasthttp.RequestCtx) {
	var c Change
	if err := json.Unmarshal(rc.PostBody(), &c); err != nil {
		fail(rc, fasthttp.StatusBadRequest, drverdict.New(drverdict.NotRun, drverdict.MalformedRequest, "change is not valid JSON: %v", err))
		return
	}
	if c.ID == "" {
		fail(rc, fasthttp.StatusBadRequest, drverdict.New(drverdict.NotRun, drverdict.MalformedRequest, "change has no id"))
		return
	}
	res, err := s.backend.Submit(ctx, c)
	if err != nil {
		fail(rc, fasthttp.StatusServiceUnavailable, err)
		return
	}
	if !res.Accepted {
		rc.SetStatusCode(fasthttp.StatusConflict)
	}
	reply(rc, res)
}

// TimelineDocument is the answer of the time line request.
type TimelineDocument struct {
	Events []drtimeline.Event `json:"events"`
	// Missing names the VMs that did not answer.
	Missing []string `json:"missing,omitempty"`
}

func (s *Server) timeline(ctx context.Context, rc *fasthttp.RequestCtx) {
	args := rc.QueryArgs()
	f := drtimeline.Filter{
		RequestID: string(args.Peek("request-id")),
		Account:   string(args.Peek("account")),
		Model:     string(args.Peek("model")),
	}
	for name, t := range map[string]*time.Time{"from": &f.From, "to": &f.To} {
		text := string(args.Peek(name))
		if text == "" {
			continue
		}
		parsed, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			fail(rc, fasthttp.StatusBadRequest, drverdict.New(drverdict.NotRun, drverdict.MalformedRequest, "%s is not an RFC 3339 time: %q", name, text))
			return
		}
		*t = parsed
	}
	es, missing := s.backend.Timeline(ctx, f)
	reply(rc, TimelineDocument{Events: es, Missing: missing})
}

func (s *Server) authorized(rc *fasthttp.RequestCtx) bool {
	token, ok := strings.CutPrefix(string(rc.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	match := 0
	for _, t := range s.tokens {
		match |= subtle.ConstantTimeCompare(sum[:], t[:])
	}
	return match == 1
}

func reply(rc *fasthttp.RequestCtx, v any) {
	rc.SetContentType("application/json")
	if err := json.NewEncoder(rc).Encode(v); err != nil {
		fail(rc, fasthttp.StatusInternalServerError, err)
	}
}

// Problem is the RFC 9457 body of a refusal.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Run    string `json:"run"`
}

// problemPrefix precedes the reason in a problem's type.
const problemPrefix = "https://dotterelridge.example/problems/"

func fail(rc *fasthttp.RequestCtx, status int, err error) {
	rc.Response.Reset()
	rc.SetStatusCode(status)
	rc.SetContentType("application/problem+json")
	reason := drverdict.ReasonOf(err)
	body, jerr := json.Marshal(Problem{
		Type:   problemPrefix + reason.String(),
		Title:  fasthttp.StatusMessage(status),
		Status: status,
		Detail: err.Error(),
		Run:    drverdict.Of(err).String(),
	})
	if jerr != nil {
		log.WithField("event", "problem-not-encoded").WithError(jerr).Error("")
		return
	}
	rc.SetBody(body)
}

// discardLogger drops fasthttp's own lines, which are not key=value pairs.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
