/**
 * Bytes that wait to be passed on, in order. Small chunks are copied into blocks, because a buffer of its own for each event
 * of a few hundred bytes would take several times its size.
 * @module
 */

/** Smallest and largest block that chunks are copied into, in bytes; blocks grow with what is held. */
const MIN_BLOCK_BYTES = 2048;
const MAX_BLOCK_BYTES = 16_384;

/** A queue of bytes. */
export class ByteQueue {
  private readonly full: Buffer[] = [];
  private block: Buffer | undefined;
  /** Bytes used of `block`. */
  private used = 0;
  private fullBytes = 0;

  /** Number of bytes in the queue. */
  get length(): number {
    return this.fullBytes + this.used;
  }

  /** Bytes of memory that the queue takes. */
  get heldBytes(): number {
    return this.fullBytes + (this.block?.length ?? 0);
  }

  /** Appends a chunk. Copies it unless it is as large as a block. */
  push(chunk: Buffer): void {
    if (chunk.length >= MAX_BLOCK_BYTES) {
      this.closeBlock();
      this.full.push(chunk);
      this.fullBytes += chunk.length;
      return;
    }
    for (let rest = chunk; rest.length > 0;) {
      const block = (this.block ??= this.newBlock());
      const copied = rest.copy(block, this.used);
      this.used += copied;
      rest = rest.subarray(copied);
      if (this.used === block.length) this.closeBlock();
    }
  }

  /** Takes the first bytes, as many as lie together; undefined if the queue is empty. */
  shift(): Buffer | undefined {
    const first = this.full.shift();
    if (first) {
      this.fullBytes -= first.length;
      return first;
    }
    if (this.used === 0) return undefined;
    const bytes = this.block?.subarray(0, this.used);
    this.block = undefined;
    this.used = 0;
    return bytes;
  }

  /** Takes all bytes as one buffer. */
  takeAll(): Buffer {
    const parts: Buffer[] = [];
    for (let part = this.shift(); part; part = this.shift()) parts.push(part);
    return parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts);
  }

  private newBlock(): Buffer {
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.length));
    // Not from Node's shared pool, whose slab would be kept by its longest-lived slice.
    return Buffer.allocUnsafeSlow(bytes);
  }

  private closeBlock(): void {
    if (this.block && this.used > 0) {
      const bytes = this.block.subarray(0, this.used);
      this.full.push(bytes);
      this.fullBytes += bytes.length;
    }
    this.block = undefined;
    this.used = 0;
  }
}
