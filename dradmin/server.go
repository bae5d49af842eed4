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
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drtimeline"
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
	// Operators may act. Health, readiness and metrics need no token.
	Operators []Operator
}

// Operator is somebody who may act, by name and token.
type Operator struct{ Name, Token string }

// Server is the admin HTTP server.
type Server struct {
	backend   Backend
	clock     drclock.Clock
	operators []operator
	http      *fasthttp.Server
}

// operator keeps the hash of a token, which takes constant time to compare.
type operator struct {
	name  string
	token [sha256.Size]byte
}

// New returns a server; connections are given to ServeConn.
func New(c Config) *Server {
	s := &Server{backend: c.Backend, clock: c.Clock}
	for _, o := range c.Operators {
		s.operators = append(s.operators, operator{name: o.Name, token: sha256.Sum256([]byte(o.Token))})
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
		operator, ok := s.authorized(rc)
		if !ok {
			rc.Response.Header.Set("WWW-Authenticate", "Bearer")
			fail(rc, fasthttp.StatusUnauthorized, drerror.New(drerror.NotRun, drerror.InvalidKey, "operator token is missing or unknown"))
			return
		}
		s.operate(rc, path, operator)
	}
}

func (s *Server) operate(rc *fasthttp.RequestCtx, path, operator string) {
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
		s.change(ctx, rc, operator)
	default:
		fail(rc, fasthttp.StatusNotFound, drerror.New(drerror.NotRun, drerror.UnknownRoute, "no admin route %s %s", method, path))
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

// change submits a change in the name of the operator, whatever author the
// body states.
func (s *Server) change(ctx context.Context, rc *fasthttp.RequestCtx, operator string) {
	var c Change
	if err := json.Unmarshal(rc.PostBody(), &c); err != nil {
		fail(rc, fasthttp.StatusBadRequest, drerror.New(drerror.NotRun, drerror.MalformedRequest, "change is not valid JSON: %v", err))
		return
	}
	if c.ID == "" {
		fail(rc, fasthttp.StatusBadRequest, drerror.New(drerror.NotRun, drerror.MalformedRequest, "change has no id"))
		return
	}
	c.Author = operator
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
			fail(rc, fasthttp.StatusBadRequest, drerror.New(drerror.NotRun, drerror.MalformedRequest, "%s is not an RFC 3339 time: %q", name, text))
			return
		}
		*t = parsed
	}
	es, missing := s.backend.Timeline(ctx, f)
	reply(rc, TimelineDocument{Events: es, Missing: missing})
}

// authorized returns the name of the operator whose token the request carries.
func (s *Server) authorized(rc *fasthttp.RequestCtx) (string, bool) {
	token, ok := strings.CutPrefix(string(rc.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	match := -1
	for i, o := range s.operators {
		match = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(sum[:], o.token[:]), i, match)
	}
	if match < 0 {
		return "", false
	}
	return s.operators[match].name, true
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
const problemPrefix = "https://dotterelridge.dev/problems/"

func fail(rc *fasthttp.RequestCtx, status int, err error) {
	rc.Response.Reset()
	rc.SetStatusCode(status)
	rc.SetContentType("application/problem+json")
	reason := drerror.ReasonOf(err)
	body, jerr := json.Marshal(Problem{
		Type:   problemPrefix + reason.String(),
		Title:  fasthttp.StatusMessage(status),
		Status: status,
		Detail: err.Error(),
		Run:    drerror.Of(err).String(),
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
