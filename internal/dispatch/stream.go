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
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// Limits of the connection pool and sizes in bytes.
const (
	maxIdlePerEngine = 128
	maxIdleTotal     = 8192
	maxEventSize     = 1 << 20
	maxErrorBody     = 64 << 10
)

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: httpwire.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Mark(err, ErrNotSent)
			}
			return connection, nil
		},
		MaxIdleConns:          maxIdleTotal,
		MaxIdleConnsPerHost:   maxIdlePerEngine,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
	})}
}

// stream sends the job to an engine, or resumes it there, and forwards the answer to the sink. It
// returns the stage that it has reached.
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
		return StageRefused, readRefusal(response)
	}
	stage := StageAccepted
	body := newIdleReader(response.Body, func() { cancel(errIdleTimeout) })
	defer body.stop()
	err = d.events(job, endpoint, body, p, sink, &stage)
	if err != nil && errors.Is(context.Cause(ctx), errIdleTimeout) {
		err = errIdleTimeout
	}
	return stage, err
}

var errIdleTimeout = errors.New("the engine was silent for too long")

// readRefusal returns the refusal in a response as a RefusalError.
func readRefusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil {
		return errors.Wrap(err, "read refusal")
	}
	detail := engineapi.DecodeError(body)
	return &RefusalError{Status: response.StatusCode, Kind: detail.Type, Message: detail.Message}
}

// request returns the HTTP request for the job. If resume is set, the engine refuses it unless it
// holds the job already.
func (d *Dispatcher) request(ctx context.Context, job *Job, endpoint *scheduling.Endpoint, address string, p *progress, resume bool) (*http.Request, error) {
	body, err := requestBody(job, p)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+job.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without GetBody the transport cannot retry the request by itself.
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

// requestBody returns the caller's body with streaming enabled and, if an answer is continued, the
// text that the caller has received.
func requestBody(job *Job, p *progress) ([]byte, error) {
	job.Body["stream"] = json.RawMessage("true")
	delete(job.Body, "continuation")
	if p.next > 0 && p.textComplete {
		text, err := json.Marshal(p.text.String())
		if err != nil {
			return nil, errors.Wrap(err, "encode continuation")
		}
		job.Body["continuation"] = text
	}
	body, err := json.Marshal(job.Body)
	return body, errors.Wrap(err, "encode body")
}

// events forwards the events of a stream to the sink and updates the stage.
func (d *Dispatcher) events(job *Job, endpoint *scheduling.Endpoint, body io.Reader, p *progress, sink Sink, stage *Stage) error {
	var failure error
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
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

// event forwards one event to the sink. It drops events that the caller has received already and
// returns an error for an event of another request or with a skipped index.
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
		d.recordUsage(job, endpoint, &chunk)
		return nil
	}
	p.next = index + 1
	if p.textComplete {
		p.text.WriteString(chunk.Choices[0].Content())
	}
	return nil
}

// recordUsage reports the cached tokens of a complete answer to the placement policy.
func (d *Dispatcher) recordUsage(job *Job, endpoint *scheduling.Endpoint, chunk *engineapi.Chunk) {
	if chunk.Usage != nil {
		d.observeResponse(job, endpoint.ID, chunk.Usage.Details.CachedTokens)
	}
}

// cancelTimeout is the timeout for cancelling a request on an engine.
const cancelTimeout = time.Second

// cancel requests in the background that the engine cancel the job. Errors are ignored, since the
// engine also drops the job after its grace period.
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

// idleReader calls a function if a read waits for data longer than idleTimeout.
type idleReader struct {
	body  io.Reader
	timer *time.Timer
}

func newIdleReader(body io.Reader, expire func()) *idleReader {
	r := &idleReader{body: body}
	r.timer = time.AfterFunc(idleTimeout, expire)
	return r
}

// Read implements io.Reader. The timer runs only during a read, so that a slow caller does not
// cause a timeout.
func (r *idleReader) Read(buffer []byte) (int, error) {
	r.timer.Reset(idleTimeout)
	n, err := r.body.Read(buffer)
	r.timer.Stop()
	return n, err
}

func (r *idleReader) stop() { r.timer.Stop() }
