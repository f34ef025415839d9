/**
 * Extends the decoder of a daemon's catalog to the register of origins.
 * @module
 */
import type * as feed from "../feed.js";
import * as register from "./register.js";

/** Extends a decoder to the key of the register. */
export function wrapDecoder(inner: feed.Decoder): feed.Decoder {
  return {
    prefixes: [...inner.prefixes, register.KEY],
    common: register.KEY.startsWith(inner.common) ? inner.common : "",
    written: (key, text) =>
      key === register.KEY
        ? { kind: "origins", register: register.parse(text) }
        : inner.written(key, text),
    deleted: (key) =>
      key === register.KEY ? { kind: "origins", register: register.EMPTY } : inner.deleted(key),
  };
}
