/**
 * Releases the fields of requests that have been decided. A connection keeps its latest request until the next one or its close, and a
 * head of a few kilobytes may have thousands of fields, which take hundreds of times the memory of a connection.
 * @module
 */
import type * as http from "node:http";

/** Releases the fields of a request that needs no more than its body read. */
export function release(req: http.IncomingMessage): void {
  req.rawHeaders = [];
  req.headers = {};
  req.headersDistinct = {};
}
