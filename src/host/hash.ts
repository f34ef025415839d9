/**
 * Fast hashing for placing and ranking; keys and signatures use SHA-256 instead.
 * @module
 */
import * as xxhash from "xxhash-wasm";

const api = await xxhash.default();

/** xxHash32 of a text, from 0 up to 2^32. */
export function of32(text: string): number {
  return api.h32(text);
}
