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
	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

const (
	// maxBodyBytes bounds the body of a request, which holds a configuration change.
	// A change with 3,340 models and adapters takes about 1 MiB.
	maxBodyBytes = 16 << 20
	// requestTimeout bounds the time to read a request and the time to handle it. A
	// change waits for the log, which may be slow.
	requestTimeout = 15 * time.Second
	idleTimeout    = time.Minute
)

// Config holds the parameters of a Server.
type Config struct {
	Backend Backend
	Clock   drclock.Clock
	// Operators are the operators whose tokens are accepted. Health, readiness and
	// metrics need no token; without operators, all other requests are refused.
	Operators []Operator
}

// Operator is the name of an operator and the bearer token that authenticates them.
type Operator struct{ Name, Token string }

// Server is the admin HTTP server.
type Server struct {
	backend   Backend
	clock     drclock.Clock
	operators []operatorCredential
	http      *fasthttp.Server
}

// operatorCredential holds the hash of an operator's token. Hashes have equal lengths,
// so they can be compared in constant time, whatever the length of the tokens.
type operatorCredential struct {
	name      string
	tokenHash [sha256.Size]byte
}

// New returns a server. It does not listen: the caller accepts connections and passes
// each to ServeConn.
func New(config Config) *Server {
	s := &Server{backend: config.Backend, clock: config.Clock}
	for _, o := range config.Operators {
		s.operators = append(s.operators, operatorCredential{name: o.Name, tokenHash: sha256.Sum256([]byte(o.Token))})
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           requestTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s
}

// ServeConn serves the requests of one connection and returns when it ends. It may be
// called concurrently for several connections.
func (s *Server) ServeConn(conn net.Conn) {
	if err := s.http.ServeConn(conn); err != nil {
		log.WithField("event", "admin-connection-ended").WithError(err).Debug("")
	}
}

func (s *Server) handle(requestCtx *fasthttp.RequestCtx) {
	if err := drhttp.CheckFields(requestCtx.Request.Header.RawHeaders()); err != nil {
		requestCtx.SetConnectionClose() // where the body ends is unknown
		writeProblem(requestCtx, fasthttp.StatusBadRequest, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "read the request"))
		return
	}
	switch path := string(requestCtx.Path()); path {
	case "/healthz":
		requestCtx.SetBodyString("ok\n")
	case "/readyz":
		s.handleReadiness(requestCtx)
	case "/metrics":
		requestCtx.SetContentType("text/plain; version=0.0.4")
		if err := s.backend.WriteMetrics(requestCtx); err != nil {
			writeProblem(requestCtx, fasthttp.StatusInternalServerError, err)
		}
	default:
		operator, ok := s.authenticate(requestCtx)
		if !ok {
			requestCtx.Response.Header.Set("WWW-Authenticate", "Bearer")
			writeProblem(requestCtx, fasthttp.StatusUnauthorized, drerror.New(drerror.NotRun, drerror.InvalidKey, "the Authorization header holds no known operator token"))
			return
		}
		s.handleOperator(requestCtx, path, operator)
	}
}

func (s *Server) handleOperator(requestCtx *fasthttp.RequestCtx, path, operator string) {
	ctx, cancel := drclock.WithTimeout(context.Background(), s.clock, requestTimeout)
	defer cancel()
	switch method := string(requestCtx.Method()); {
	case path == "/v1/status" && method == fasthttp.MethodGet:
		writeJSON(requestCtx, s.backend.Status())
	case path == "/v1/objects" && method == fasthttp.MethodGet:
		objects, err := s.backend.Objects()
		if err != nil {
			writeProblem(requestCtx, fasthttp.StatusInternalServerError, err)
			return
		}
		writeJSON(requestCtx, objects)
	case path == "/v1/in-force" && method == fasthttp.MethodGet:
		writeJSON(requestCtx, s.backend.InForce(ctx))
	case path == "/v1/timeline" && method == fasthttp.MethodGet:
		s.handleTimeline(ctx, requestCtx)
	case path == "/v1/changes" && method == fasthttp.MethodPost:
		s.handleChange(ctx, requestCtx, operator)
	default:
		writeProblem(requestCtx, fasthttp.StatusNotFound, drerror.New(drerror.NotRun, drerror.UnknownRoute, "the admin server has no route %s %s", method, path))
	}
}

func (s *Server) handleReadiness(requestCtx *fasthttp.RequestCtx) {
	if ok, reason := s.backend.Ready(); !ok {
		requestCtx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		requestCtx.SetBodyString(reason + "\n")
		return
	}
	requestCtx.SetBodyString("ready\n")
}

// handleChange submits a configuration change. It sets the author to the authenticated
// operator, whatever author the body contains.
func (s *Server) handleChange(ctx context.Context, requestCtx *fasthttp.RequestCtx, operator string) {
	var change Change
	if err := json.Unmarshal(requestCtx.PostBody(), &change); err != nil {
		writeProblem(requestCtx, fasthttp.StatusBadRequest, drerror.New(drerror.NotRun, drerror.MalformedRequest, "the body is not a configuration change in valid JSON: %v", err))
		return
	}
	if change.ID == "" {
		writeProblem(requestCtx, fasthttp.StatusBadRequest, drerror.New(drerror.NotRun, drerror.MalformedRequest, "the configuration change has no id"))
		return
	}
	change.Author = operator
	result, err := s.backend.Submit(ctx, change)
	if err != nil {
		writeProblem(requestCtx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	if !result.Accepted {
		requestCtx.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(requestCtx, result)
}

// TimelineDocument is the body of the response to a request for the time line. Events
// are sorted by stamp.
type TimelineDocument struct {
	Events []drtimeline.Event `json:"events"`
	// Missing names the VMs that did not answer.
	Missing []string `json:"missing,omitempty"`
}

func (s *Server) handleTimeline(ctx context.Context, requestCtx *fasthttp.RequestCtx) {
	args := requestCtx.QueryArgs()
	filter := drtimeline.Filter{
		RequestID: string(args.Peek("request-id")),
		Account:   string(args.Peek("account")),
		Model:     string(args.Peek("model")),
	}
	for name, t := range map[string]*time.Time{"from": &filter.From, "to": &filter.To} {
		value := string(args.Peek(name))
		if value == "" {
			continue
		}
		parsed, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			writeProblem(requestCtx, fasthttp.StatusBadRequest, drerror.New(drerror.NotRun, drerror.MalformedRequest, "query parameter %s is not an RFC 3339 time: %q", name, value))
			return
		}
		*t = parsed
	}
	events, missing := s.backend.Timeline(ctx, filter)
	writeJSON(requestCtx, TimelineDocument{Events: events, Missing: missing})
}

// authenticate returns the name of the operator whose bearer token the request
// carries, or false if there is none. It compares the tokens of all operators in
// constant time, so that the response time tells nothing about them.
func (s *Server) authenticate(requestCtx *fasthttp.RequestCtx) (string, bool) {
	token, ok := strings.CutPrefix(string(requestCtx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return "", false
	}
	tokenHash := sha256.Sum256([]byte(token))
	match := -1
	for i, o := range s.operators {
		match = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(tokenHash[:], o.tokenHash[:]), i, match)
	}
	if match < 0 {
		return "", false
	}
	return s.operators[match].name, true
}

func writeJSON(requestCtx *fasthttp.RequestCtx, document any) {
	requestCtx.SetContentType("application/json")
	if err := json.NewEncoder(requestCtx).Encode(document); err != nil {
		writeProblem(requestCtx, fasthttp.StatusInternalServerError, err)
	}
}

// Problem is the body of an error response, as defined in RFC 9457. Run is the name of
// a drerror.Verdict: whether the request may have been executed.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Run    string `json:"run"`
}

// problemTypePrefix precedes the name of a drerror.Reason in the type of a problem.
const problemTypePrefix = "https://dotterelridge.dev/problems/"

// writeProblem replaces the response by an error response that describes err.
func writeProblem(requestCtx *fasthttp.RequestCtx, status int, err error) {
	requestCtx.Response.Reset()
	requestCtx.SetStatusCode(status)
	requestCtx.SetContentType("application/problem+json")
	reason := drerror.ReasonOf(err)
	body, encodeErr := json.Marshal(Problem{
		Type:   problemTypePrefix + reason.String(),
		Title:  fasthttp.StatusMessage(status),
		Status: status,
		Detail: err.Error(),
		Run:    drerror.VerdictOf(err).String(),
	})
	if encodeErr != nil {
		log.WithField("event", "problem-not-encoded").WithError(encodeErr).Error("")
		return
	}
	requestCtx.SetBody(body)
}

// discardLogger drops the log lines of fasthttp, because they do not consist of
// key=value pairs.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
