package platform

import (
	"strconv"
	"time"

	"tinsail/internal/core"
)

// PolicyStamp is the version of the fleet's policy under which a job was accepted, and the
// dispatcher that accepted it.
type PolicyStamp struct {
	Version    uint64 // 0: neither field is written
	Dispatcher string
}

// AppendJob appends the head of a job for a backend. The caller sends the body after it. v is nil
// where the dispatchers agree on no policy.
func AppendJob(b []byte, j *core.Job, host string, timeLeft time.Duration, stamp *PolicyStamp) []byte {
	b = append(b, j.Method...)
	b = append(b, ' ')
	b = append(b, j.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nX-Correlation-Id: "...)
	b = append(b, j.ID...)
	if j.IdempotencyKey != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, j.IdempotencyKey...)
	}
	if stamp != nil && stamp.Version > 0 {
		b = append(b, "\r\nX-Policy-Version: "...)
		b = strconv.AppendUint(b, stamp.Version, 10)
		b = append(b, "\r\nX-Dispatcher: "...)
		b = append(b, stamp.Dispatcher...)
	}
	b = append(b, "\r\nX-Time-Left-Ms: "...)
	b = strconv.AppendInt(b, max(timeLeft.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(j.Body)), 10)
	return append(b, "\r\n\r\n"...)
}

// AppendGet appends a GET request.
func AppendGet(b []byte, target, host string) []byte {
	b = append(append(b, "GET "...), target...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), host...)
	return append(b, "\r\n\r\n"...)
}

// ListTarget is the request target for the full list.
const ListTarget = "/registry/instances"

// AppendWatchTarget appends the request target of a watch for changes after index.
func AppendWatchTarget(b []byte, index uint64, wait time.Duration) []byte {
	b = append(b, "/registry/instances?since="...)
	b = strconv.AppendUint(b, index, 10)
	b = append(b, "&timeout_ms="...)
	return strconv.AppendInt(b, wait.Milliseconds(), 10)
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable"}

// AppendAnswer appends an answer to a client.
func AppendAnswer(b []byte, status int, retryAfter time.Duration, closing bool, body string) []byte {
	return AppendAnswerWithFields(b, status, retryAfter, closing, "", body)
}

// AppendAnswerWithFields appends an answer with further header fields: complete lines, each with
// its line end.
func AppendAnswerWithFields(b []byte, status int, retryAfter time.Duration, closing bool, fields, body string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasonPhrases[status]...)
	if retryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, retryAfter.Seconds(), 'f', 3, 64)
	}
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(append(b, "\r\n"...), fields...)
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// AppendFinalAnswer appends the final answer to a request. Only a backend's result is sent as a
// 200.
func AppendFinalAnswer(b []byte, a core.Answer, closing bool) []byte {
	switch a.Kind {
	case core.Result:
		return AppendAnswer(b, 200, 0, closing, a.Result)
	case core.Refusal:
		return AppendAnswer(b, 503, a.RetryAfter, closing, "")
	}
	return AppendAnswer(b, 502, 0, closing, "")
}
