// Package proxy carries callers' requests to targets and tells each caller
// truthfully what became of its request.
package proxy
