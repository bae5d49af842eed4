package drmember

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drhttp"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// maxListBytes bounds the body of the list's response. 4,200 VMs take about
// 600 KiB.
const maxListBytes = 16 << 20

// HTTPLister reads the VM list over HTTP. It implements Lister and is safe for
// concurrent use.
type HTTPLister struct {
	url    string
	client *fasthttp.Client
}

// NewHTTPLister returns a Lister that reads baseURL + "/v1/vms", with a baseURL
// such as "http://10.0.0.1:8000". It connects with dialer, or with package net if
// dialer is nil.
func NewHTTPLister(baseURL string, dialer drpeer.Dialer) *HTTPLister {
	client := &fasthttp.Client{
		MaxResponseBodySize: maxListBytes, ReadTimeout: pollTimeout, WriteTimeout: pollTimeout,
		MaxIdleConnDuration: 10 * pollInterval, Transport: drhttp.Transport{},
	}
	if dialer != nil {
		client.Dial = func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
			defer cancel()
			return dialer.Dial(ctx, address)
		}
	}
	return &HTTPLister{url: baseURL + "/v1/vms", client: client}
}

// VMs implements Lister. It obeys the deadline of ctx but not its cancellation,
// and takes at most 2 s if ctx has no deadline.
func (l *HTTPLister) VMs(ctx context.Context, version uint64) (List, bool, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(l.url)
	if version > 0 {
		req.URI().QueryArgs().Set("version", strconv.FormatUint(version, 10))
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(pollTimeout)
	}
	if err := l.client.DoDeadline(req, resp, deadline); err != nil {
		return List{}, false, fmt.Errorf("read VM list: %w", err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusNotModified:
		return List{}, false, nil
	case fasthttp.StatusOK:
		var list List
		if err := json.Unmarshal(resp.Body(), &list); err != nil {
			return List{}, false, fmt.Errorf("decode VM list: %w", err)
		}
		return list, true, nil
	default:
		return List{}, false, fmt.Errorf("read VM list: HTTP status %d", resp.StatusCode())
	}
}
