/**
 * Fast non-cryptographic hashing for placement and ranking. Keys and signatures use SHA-256 instead.
 * @module
 */
import * as murmurhash from "murmurhash";

/** 32-bit MurmurHash3 of a text, as an unsigned integer. */
export function hash32(text: string): number {
  return murmurhash.default.v3(text);
}

/**
 * Mixes a number into a hash; both are unsigned 32-bit integers. Uses only MurmurHash3's finalization step,
 * which takes a few operations.
 */
export function mix32(hash: number, n: number): number {
  let h = hash ^ Math.imul(n, 0x9e3779b1);
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
