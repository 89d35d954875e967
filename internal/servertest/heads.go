package servertest

import (
	"strconv"
	"strings"
)

const statusOK = "HTTP/1.1 200 OK\r\n"

// MalformedNames returns responses that have one field with an invalid name each, by what is wrong with it.
// Their heads contain fields, which are complete lines. The body has more than four bytes.
func MalformedNames(fields, body string) map[string]string {
	start, end := statusOK+fields, lengthAndBody(body)
	return map[string]string{
		"blank in a name":       start + "X A: 1\r\n" + end,
		"blank after a name":    start + "X-A : 1\r\n" + end,
		"length of less":        start + "Content-Length : 4\r\n\r\n" + body,
		"length of more":        start + "Content-Length : 4000\r\n\r\n" + body,
		"second length":         start + "Content-Length : 4\r\n" + end,
		"chunks":                start + "Transfer-Encoding : chunked\r\n\r\n" + chunk(body),
		"chunks and length":     start + "Transfer-Encoding : chunked\r\n" + end,
		"tab in a name":         start + "X\tA: 1\r\n" + end,
		"tab after a name":      start + "Content-Length\t: 4\r\n" + end,
		"control byte":          start + "X\x01A: 1\r\n" + end,
		"NUL":                   start + "Content-Length\x00: 4\r\n" + end,
		"DEL":                   start + "X\x7fA: 1\r\n" + end,
		"carriage return":       start + "X\rA: 1\r\n" + end,
		"byte above 127":        start + "X\xe9: 1\r\n" + end,
		"parenthesis":           start + "X(A): 1\r\n" + end,
		"empty name":            start + ": 1\r\n" + end,
		"no colon":              start + "X-A\r\n" + end,
		"blank in a first name": statusOK + "X A: 1\r\n" + fields + end,
		"blank before a name":   statusOK + " X-A: 1\r\n" + fields + end,
	}
}

// InvalidStatuses returns responses whose status codes HTTP does not have.
func InvalidStatuses(fields, body string) map[string]string {
	responses := make(map[string]string)
	for _, status := range []string{"000", "042", "099", "+99", "-10", "20", "2000", "abc", ""} {
		responses["status "+status] = "HTTP/1.1 " + status + " x\r\n" + fields + lengthAndBody(body)
	}
	return responses
}

// CutHeads returns the beginnings of a head, by the part in which they end.
func CutHeads(fields string) map[string]string {
	whole := statusOK + fields + "X-A: 1\r\nContent-Length: 12\r\n\r\n"
	heads := map[string]string{"nothing": ""}
	for name, part := range map[string]string{
		"version":                "HTTP/1.",
		"status":                 "HTTP/1.1 20",
		"reason":                 "HTTP/1.1 200 O",
		"status line":            statusOK,
		"name":                   statusOK + fields + "X-",
		"name before its colon":  statusOK + fields + "X-A",
		"value":                  statusOK + fields + "X-A:",
		"field":                  statusOK + fields + "X-A: 1\r\n",
		"name of the length":     statusOK + fields + "X-A: 1\r\nContent-Le",
		"length":                 statusOK + fields + "X-A: 1\r\nContent-Length: 1",
		"line of the length":     strings.TrimSuffix(whole, "\n\r\n"),
		"all fields":             strings.TrimSuffix(whole, "\r\n"),
		"empty line":             strings.TrimSuffix(whole, "\n"),
		"fields, without return": statusOK + fields + "X-A: 1\n",
		"interim response":       "HTTP/1.1 100 Continue\r\n",
		"after an interim one":   "HTTP/1.1 100 Continue\r\n\r\n" + statusOK + fields,
	} {
		heads[name] = part
	}
	return heads
}

// Unusual returns valid responses with the body, by what is unusual about them. They announce that a Server
// closes the connection, so that no client sends another request on it.
func Unusual(fields, body string) map[string]string {
	fields += "Connection: close\r\n"
	length := lengthAndBody(body)
	return map[string]string{
		"empty reason":         "HTTP/1.1 200 \r\n" + fields + length,
		"no reason":            "HTTP/1.1 200\r\n" + fields + length,
		"any token":            statusOK + fields + "!#$%&'*+-.^_`|~09Az: 1\r\n" + length,
		"obs-text in a value":  statusOK + fields + "X-A: \x80\xe9\xff\r\n" + length,
		"tab in a value":       statusOK + fields + "X-A: a\tb\r\n" + length,
		"empty value":          statusOK + fields + "X-A:\r\n" + length,
		"blanks about a value": statusOK + fields + "X-A: \t 1 \t\r\n" + length,
		"bare LF":              strings.ReplaceAll(statusOK+fields+lengthAndBody(body), "\r\n", "\n"),
		"interim response":     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + statusOK + fields + length,
		"chunks":               statusOK + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body),
	}
}

func lengthAndBody(body string) string {
	return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// chunk returns the body as a single chunk and its end.
func chunk(body string) string {
	return strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
}
