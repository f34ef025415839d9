/**
 * Fast hashing for placing and ranking; keys and signatures use SHA-256 instead.
 * @module
 */
import * as murmurhash from "murmurhash";

/** MurmurHash3 of a text, from 0 up to 2^32. */
export function of32(text: string): number {
  return murmurhash.default.v3(text);
}
