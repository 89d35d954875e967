package quota

// Responses bounds the memory of all responses that are being read from endpoints. A response can't
// be refused, because its request has run; it can be given up. Set Bytes before use. It is not safe
// for concurrent use.
type Responses struct {
	// Bytes is the limit; 0 means that there is none.
	Bytes int64

	used    int64
	reading []*Response
}

// Response is a response that is being read.
type Response struct {
	// Drop is called by the owner of Responses for a response that was given up.
	Drop func()

	bytes int64
	// index is the position in Responses.reading; -1 while the response is not among them.
	index int
}

// NewResponse returns a response that holds nothing.
func NewResponse(drop func()) *Response { return &Response{Drop: drop, index: -1} }

// Grow counts more memory for a response; bytes may be negative. It returns the responses that are
// given up for it: those that hold most, perhaps the response itself.
func (re *Responses) Grow(rs *Response, bytes int64) (dropped []*Response) {
	if rs.index < 0 {
		rs.index = len(re.reading)
		re.reading = append(re.reading, rs)
	}
	rs.bytes += bytes
	re.used += bytes
	for bytes > 0 && re.Bytes > 0 && re.used > re.Bytes && len(re.reading) > 0 {
		victim := re.largest()
		re.End(victim)
		dropped = append(dropped, victim)
	}
	return dropped
}

// End frees the memory of a response that is not read any more.
func (re *Responses) End(rs *Response) {
	if rs.index < 0 {
		return
	}
	last := re.reading[len(re.reading)-1]
	re.reading[rs.index], last.index = last, rs.index
	re.reading = re.reading[:len(re.reading)-1]
	re.used -= rs.bytes
	rs.bytes, rs.index = 0, -1
}

// Used returns the memory in use.
func (re *Responses) Used() int64 { return re.used }

// largest returns the response that holds most.
func (re *Responses) largest() *Response {
	most := re.reading[0]
	for _, rs := range re.reading {
		if rs.bytes > most.bytes {
			most = rs
		}
	}
	return most
}
