package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// Sizes of the connection pool to engines.
const (
	idlePerEngine = 128
	idleTotal     = 8192
	maxEvent      = 1 << 20
	maxErrorBody  = 64 << 10
)

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Mark(err, ErrNotSent)
			}
			return connection, nil
		},
		MaxIdleConns:          idleTotal,
		MaxIdleConnsPerHost:   idlePerEngine,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
	}}
}

// stream sends the job to an engine, or resumes it there, and passes the
// answer on.
func (d *Dispatcher) stream(ctx context.Context, job *Job, endpoint *scheduling.Endpoint, p *progress, sink Sink, resume bool) (Stage, error) {
	address := d.config.Pool.Address(endpoint.ID)
	if address == "" {
		return StageConnecting, errors.Mark(errors.New("the engine is not listed any more"), ErrNotSent)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := d.request(ctx, job, endpoint, address, p, resume)
	if err != nil {
		return StageConnecting, errors.Mark(err, ErrNotSent)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return StageSent, errors.Wrap(err, "send to engine")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return StageRefused, refusal(response)
	}
	stage := StageAccepted
	body := watchIdle(response.Body, func() { cancel(errIdle) })
	defer body.stop()
	err = d.events(job, endpoint, body, p, sink, &stage)
	if err != nil && errors.Is(context.Cause(ctx), errIdle) {
		err = errIdle
	}
	return stage, err
}

var errIdle = errors.New("the engine was silent for too long")

func refusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil {
		return errors.Wrap(err, "read refusal")
	}
	detail := engineapi.DecodeError(body)
	return &RefusalError{Status: response.StatusCode, Kind: detail.Type, Message: detail.Message}
}

func (d *Dispatcher) request(ctx context.Context, job *Job, endpoint *scheduling.Endpoint, address string, p *progress, resume bool) (*http.Request, error) {
	body, err := bodyOf(job, p)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+job.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport never sends a request a second time by
	// itself.
	request.GetBody = nil
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set(engineapi.HeaderRequestID, job.ID)
	header.Set(engineapi.HeaderIncarnation, endpoint.Incarnation)
	header.Set(engineapi.HeaderTenant, job.Place.Tenant)
	header.Set(engineapi.HeaderMinimumWeights, strconv.Itoa(job.Place.MinimumWeights))
	header.Set(engineapi.HeaderPriority, strconv.Itoa(job.Priority))
	header.Set(engineapi.HeaderResumeIndex, strconv.Itoa(p.next))
	if job.Scope.Shared != "" {
		header.Set(engineapi.HeaderShared, engineapi.FormatShared(job.Scope.Shared, job.Scope.SharedBytes))
	}
	if resume {
		header.Set(engineapi.HeaderResumeOnly, "true")
	}
	return request, nil
}

// bodyOf returns the body to send: the caller's, always streamed, with the text
// that the caller already has.
func bodyOf(job *Job, p *progress) ([]byte, error) {
	job.Body["stream"] = json.RawMessage("true")
	delete(job.Body, "continuation")
	if p.next > 0 && p.known {
		text, err := json.Marshal(p.text.String())
		if err != nil {
			return nil, errors.Wrap(err, "encode continuation")
		}
		job.Body["continuation"] = text
	}
	body, err := json.Marshal(job.Body)
	return body, errors.Wrap(err, "encode body")
}

// events passes the events of a stream on, each exactly once and in order.
func (d *Dispatcher) events(job *Job, endpoint *scheduling.Endpoint, body io.Reader, p *progress, sink Sink, stage *Stage) error {
	var failure error
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if event.Data == engineapi.Done {
			*stage = StageEnded
			break
		}
		if failure = d.event(job, endpoint, event, p, sink); failure != nil {
			break
		}
		*stage = StageStreaming
	}
	switch {
	case failure != nil:
		return failure
	case *stage != StageEnded:
		return errors.New("the stream ended without its end mark")
	case !p.done:
		return errors.New("the stream ended without its final event")
	}
	return nil
}

// event passes one event on.
func (d *Dispatcher) event(job *Job, endpoint *scheduling.Endpoint, event sse.Event, p *progress, sink Sink) error {
	var chunk engineapi.Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if chunk.ID != job.ID || len(chunk.Choices) != 1 {
		return errors.Newf("event of request %q in the stream of %q", chunk.ID, job.ID)
	}
	final := chunk.Choices[0].FinishReason != nil
	index, err := strconv.Atoi(event.LastEventID)
	if err != nil {
		return errors.Newf("event id %q is not an index", event.LastEventID)
	}
	switch {
	case index < p.next || p.done:
		return nil
	case index > p.next:
		return errors.Newf("event %d came where %d was due", index, p.next)
	}
	token := Token{Engine: endpoint.ID, Incarnation: endpoint.Incarnation, Request: job.ID, Next: index + 1}
	if final {
		token.Next = index
	}
	if err := sink.Chunk(token, event.Data, &chunk); err != nil {
		return &callerError{cause: err}
	}
	if final {
		p.done = true
		d.noteUsage(job, endpoint, &chunk)
		return nil
	}
	p.next = index + 1
	if p.known {
		p.text.WriteString(chunk.Choices[0].Content())
	}
	return nil
}

func (d *Dispatcher) noteUsage(job *Job, endpoint *scheduling.Endpoint, chunk *engineapi.Chunk) {
	if chunk.Usage != nil {
		d.answered(job, endpoint.ID, chunk.Usage.Details.CachedTokens)
	}
}

// cancelTimeout bounds the call that tells an engine to forget a request.
const cancelTimeout = time.Second

// cancel tells the engine to stop working on a request. It does not wait.
func (d *Dispatcher) cancel(job *Job, endpoint *scheduling.Endpoint) {
	address := d.config.Pool.Address(endpoint.ID)
	if address == "" {
		return
	}
	id, tenant := job.ID, job.Place.Tenant
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engineapi.PathCancel, strings.NewReader(""))
		if err != nil {
			return
		}
		request.Header.Set(engineapi.HeaderRequestID, id)
		request.Header.Set(engineapi.HeaderTenant, tenant)
		response, err := d.client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
}

// idleReader ends a stream that is silent for too long.
type idleReader struct {
	inner io.Reader
	timer *time.Timer
}

func watchIdle(inner io.Reader, expire func()) *idleReader {
	r := &idleReader{inner: inner}
	r.timer = time.AfterFunc(idleTimeout, expire)
	return r
}

// Read implements io.Reader. The timer runs only while data is awaited, so
// that a slow caller does not count against the engine.
func (r *idleReader) Read(buffer []byte) (int, error) {
	r.timer.Reset(idleTimeout)
	n, err := r.inner.Read(buffer)
	r.timer.Stop()
	return n, err
}

func (r *idleReader) stop() { r.timer.Stop() }
