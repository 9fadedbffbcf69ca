// Package proxy is the HTTP reverse proxy of an entry. It forwards callers' requests to targets or to other entries and
// reports an outcome for each request: Done, NotRun or Unknown. It reports NotRun only for a request that certainly did
// not run.
package proxy
