package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/poison"
	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
	"quinceridge.example/quinceridge/internal/upstream"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	maxDocument = 8 << 20
	maxCall     = 64 << 10
)

// Handler returns the HTTP API for operators and back ends in the default vocabulary:
//
//	PUT  /v1/configuration            a traffic.Document
//	GET  /v1/configuration            the one in force
//	POST /v1/weights                  a state.NameWeights
//	POST /v1/backends/{id}/heartbeat  a coordapi.Heartbeat
//	POST /v1/backends/{id}/leave      with ?born= if it may start again under its name
//	GET  /v1/blocked                  the blocked requests
//	GET  /v1/limits                   coordapi.LimitsInForce of the leader
//	GET  /v1/software                 a list of coordapi.SoftwareInService
//	DELETE /v1/blocked/{digest}       unblocks a request
//
// Status 200 means that the change is in force, 400 that it is invalid, and 503 that the outcome
// is unknown and the call may be repeated.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", s.putConfiguration)
	mux.HandleFunc("GET /v1/configuration", s.getConfiguration)
	mux.HandleFunc("POST /v1/weights", func(w http.ResponseWriter, r *http.Request) {
		serveCall(s, w, r, func(named *state.NameWeights) coordapi.Request { return coordapi.Request{NameWeights: named} })
	})
	mux.HandleFunc("POST /v1/backends/{id}/heartbeat", func(w http.ResponseWriter, r *http.Request) {
		s.heartbeat(w, r)
	})
	mux.HandleFunc("POST /v1/backends/{id}/leave", func(w http.ResponseWriter, r *http.Request) {
		leave := &coordapi.Leave{ID: r.PathValue("id")}
		if text := r.URL.Query().Get("born"); text != "" {
			born, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				http.Error(w, "born: a whole number of milliseconds is required", http.StatusBadRequest)
				return
			}
			leave.Born = state.UnixMilli(born)
		}
		s.respond(w, r, coordapi.Request{Leave: leave})
	})
	s.registerOperatorRoutes(mux)
	return mux
}

// registerOperatorRoutes adds the routes for blocked requests and limits.
func (s *Server) registerOperatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/limits", s.listLimits)
	mux.HandleFunc("GET /v1/software", s.listSoftware)
	mux.HandleFunc("GET /v1/blocked", s.listBlocked)
	mux.HandleFunc("POST /v1/blocked", s.blockByOperator)
	mux.HandleFunc("DELETE /v1/blocked/{digest}", func(w http.ResponseWriter, r *http.Request) {
		digest, err := poison.ParseDigest(r.PathValue("digest"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.logger.Info("operator unblocks request", "part", "blocking", "request", digest.String())
		s.respond(w, r, coordapi.Request{Unblock: &state.Unblock{Request: digest}})
	})
}

// listLimits writes the leader's limits.
func (s *Server) listLimits(w http.ResponseWriter, r *http.Request) {
	reply, err := s.Call(r.Context(), coordapi.Request{ListLimits: &coordapi.ListLimits{}})
	if err != nil || reply.Limits == nil {
		http.Error(w, "no leader can be reached", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply.Limits)
}

// heartbeat serves a heartbeat in the default vocabulary.
func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	var beat coordapi.Heartbeat
	body, ok := readCall(w, r)
	if !ok {
		return
	}
	err := json.Unmarshal(body, &beat)
	beat.Backend.ID = r.PathValue("id")
	if err == nil {
		err = beat.Check()
	}
	if err != nil {
		s.RecordUnreadable(beat.Backend.ID, err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, r, coordapi.Request{Heartbeat: &beat})
}

// serveCall decodes a body and runs the call that translate makes of it.
func serveCall[Body any](s *Server, w http.ResponseWriter, r *http.Request, translate func(*Body) coordapi.Request) {
	text, ok := readCall(w, r)
	if !ok {
		return
	}
	body := new(Body)
	if err := json.Unmarshal(text, body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, r, translate(body))
}

// readCall reads the whole body of a call, which must not run if its client stops in the middle of it. It
// writes the error response itself and then returns false.
func readCall(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	if err != nil {
		http.Error(w, err.Error(), unreadStatus(err))
		return nil, false
	}
	return body, true
}

// unreadStatus returns the status of a call whose body was not read. It may be repeated unless the body is
// wrong.
func unreadStatus(err error) int {
	if errors.Is(err, listener.ErrMemory) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, request coordapi.Request) {
	if _, err := s.Call(r.Context(), request); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (s *Server) putConfiguration(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocument))
	if err != nil {
		http.Error(w, err.Error(), unreadStatus(err))
		return
	}
	table, err := s.parse(document)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, r, coordapi.Request{Configure: &state.Configure{Version: table.Version, Document: document}})
}

// parse decodes a configuration. Only one is decoded at a time, since that takes many times its size.
func (s *Server) parse(document []byte) (*traffic.Table, error) {
	s.parsing.Lock()
	defer s.parsing.Unlock()
	return traffic.Parse(document)
}

func (s *Server) getConfiguration(w http.ResponseWriter, r *http.Request) {
	reply, err := s.Call(r.Context(), coordapi.Request{Read: &coordapi.Read{}})
	if err != nil || len(reply.Document) == 0 {
		http.Error(w, "the newest configuration is not known", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply.Document)
}

// HTTPEngines implements Engines for engines with the default vocabulary: POST /v1/load takes a
// LoadOrder and GET /v1/state returns an EngineReport.
type HTTPEngines struct{ *EngineClient }

// NewHTTPEngines returns a client without open connections.
func NewHTTPEngines(logger *slog.Logger) HTTPEngines {
	return HTTPEngines{NewEngineClient(vocabulary.Default(), logger)}
}

// Load implements Engines.
func (e HTTPEngines) Load(ctx context.Context, order LoadOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return e.SendOrder(ctx, order.Target, "/v1/load", body)
}

// statusTarget is the path of an engine's report.
const statusTarget = "/v1/state"

// StatusRequest returns the request for an engine's report with the default vocabulary.
func StatusRequest() upstream.Status {
	return upstream.Status{Target: statusTarget, InstanceHeader: vocabulary.Default().Instance, Born: func(body []byte) (state.UnixMilli, error) {
		var report EngineReport
		err := json.Unmarshal(body, &report)
		return report.Born, err
	}}
}

// Report implements Engines.
func (e HTTPEngines) Report(ctx context.Context, to Target) (EngineReport, error) {
	var report EngineReport
	status, body, err := e.Call(ctx, to, http.MethodGet, statusTarget, nil)
	if err != nil {
		return report, err
	}
	if status != http.StatusOK {
		return report, errors.New("engine returned no report")
	}
	return report, json.Unmarshal(body, &report)
}
