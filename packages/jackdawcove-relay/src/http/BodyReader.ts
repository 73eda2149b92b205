/** Reader of HTTP/1.1 message bodies; a body is buffered completely. */

/** How the end of a body is determined. */
export type BodyFraming =
  | {readonly byteCount: number; readonly kind: 'length'}
  | {readonly kind: 'chunked'}
  | {readonly kind: 'untilClose'};

/** State of a body reader. */
export type BodyState = 'done' | 'malformed' | 'reading' | 'tooLarge';

/** Framing of a message without a body. */
export const NO_BODY: BodyFraming = {byteCount: 0, kind: 'length'};

const LINE_FEED = 10;
/** Longest chunk size line or trailer line, in characters. */
const MAXIMUM_LINE_LENGTH = 4_096;
const CHUNK_SIZE_PATTERN = /^([0-9a-fA-F]{1,8})[ \t]*(;.*)?$/;
const HEXADECIMAL = 16;
/** Total length of the trailer lines, in characters. */
const MAXIMUM_TRAILER_LENGTH = 16_384;
/** Pieces that are kept as they are received; further small ones are merged. */
const MAXIMUM_SEPARATE_PIECES = 64;
/** Size of the buffers that small pieces are merged into. */
const MERGE_BUFFER_BYTES = 65_536;

type ChunkPart = 'data' | 'dataEnd' | 'size' | 'trailer';

const NO_BYTES = Buffer.alloc(0);

/** Reads one body. */
export class BodyReader {
  #byteCount = 0;
  #chunks: Buffer[] = [];
  #line = '';
  #mergeBuffer = NO_BYTES;
  /** Bytes of the merge buffer that are in use. */
  #mergedByteCount = 0;
  readonly #framing: BodyFraming;
  readonly #maximumBytes: number;
  #part: ChunkPart = 'size';
  #remaining: number;
  #state: BodyState = 'reading';
  #trailerLength = 0;

  constructor(framing: BodyFraming, maximumBytes: number) {
    this.#framing = framing;
    this.#maximumBytes = maximumBytes;
    this.#remaining = framing.kind === 'length' ? framing.byteCount : 0;
    if (framing.kind === 'length') {
      this.#state = framing.byteCount === 0 ? 'done' : 'reading';
      if (framing.byteCount > maximumBytes) {
        this.#state = 'tooLarge';
      }
    }
  }

  /** Number of bytes that are buffered. */
  getByteCount(): number {
    return this.#byteCount;
  }

  /** Whether the message does not state how long its body is. */
  isUnbounded(): boolean {
    return this.#framing.kind !== 'length';
  }

  getState(): BodyState {
    return this.#state;
  }

  /** Reads bytes from an offset on; returns the offset after the bytes consumed. */
  push(bytes: Buffer, offset: number): number {
    switch (this.#framing.kind) {
      case 'chunked':
        return this.#pushChunked(bytes, offset);
      case 'length':
        return this.#pushLength(bytes, offset);
      case 'untilClose':
        this.#add(bytes.subarray(offset));
        return bytes.length;
    }
  }

  /** Handles the end of the connection; returns whether the body is complete. */
  end(): boolean {
    if (this.#framing.kind === 'untilClose' && this.#state === 'reading') {
      this.#state = 'done';
    }
    return this.#state === 'done';
  }

  /** Returns the complete body. */
  takeBody(): Buffer {
    this.#flushMerged();
    const [single] = this.#chunks;
    return single !== undefined && this.#chunks.length === 1
      ? single
      : Buffer.concat(this.#chunks, this.#byteCount);
  }

  #add(bytes: Buffer): void {
    this.#byteCount += bytes.length;
    if (this.#byteCount > this.#maximumBytes) {
      this.#state = 'tooLarge';
      return;
    }
    if (bytes.length === 0) {
      return;
    }
    if (
      this.#chunks.length < MAXIMUM_SEPARATE_PIECES ||
      bytes.length >= MERGE_BUFFER_BYTES
    ) {
      this.#flushMerged();
      this.#chunks.push(bytes);
      return;
    }
    this.#merge(bytes);
  }

  /** Copies a small piece: an object for each of them would cost far more memory. */
  #merge(bytes: Buffer): void {
    const end = this.#mergedByteCount + bytes.length;
    if (end > this.#mergeBuffer.length) {
      this.#flushMerged();
      this.#mergeBuffer = Buffer.allocUnsafeSlow(MERGE_BUFFER_BYTES);
    }
    bytes.copy(this.#mergeBuffer, this.#mergedByteCount);
    this.#mergedByteCount += bytes.length;
  }

  #flushMerged(): void {
    if (this.#mergedByteCount > 0) {
      this.#chunks.push(this.#mergeBuffer.subarray(0, this.#mergedByteCount));
    }
    this.#mergeBuffer = NO_BYTES;
    this.#mergedByteCount = 0;
  }

  #pushLength(bytes: Buffer, offset: number): number {
    const end = Math.min(bytes.length, offset + this.#remaining);
    this.#remaining -= end - offset;
    this.#add(bytes.subarray(offset, end));
    if (this.#remaining === 0 && this.#state === 'reading') {
      this.#state = 'done';
    }
    return end;
  }

  #pushChunked(bytes: Buffer, start: number): number {
    let offset = start;
    while (offset < bytes.length && this.#state === 'reading') {
      offset =
        this.#part === 'data'
          ? this.#pushData(bytes, offset)
          : this.#pushLine(bytes, offset);
    }
    return offset;
  }

  #pushData(bytes: Buffer, offset: number): number {
    const end = Math.min(bytes.length, offset + this.#remaining);
    this.#remaining -= end - offset;
    this.#add(bytes.subarray(offset, end));
    if (this.#remaining === 0) {
      this.#part = 'dataEnd';
    }
    return end;
  }

  #pushLine(bytes: Buffer, offset: number): number {
    const lineFeed = bytes.indexOf(LINE_FEED, offset);
    const end = lineFeed < 0 ? bytes.length : lineFeed + 1;
    this.#line += bytes.toString('latin1', offset, end);
    if (this.#line.length > MAXIMUM_LINE_LENGTH) {
      this.#state = 'malformed';
    } else if (lineFeed >= 0) {
      this.#parseLine(this.#line);
      this.#line = '';
    }
    return end;
  }

  #parseLine(line: string): void {
    if (!line.endsWith('\r\n')) {
      this.#state = 'malformed';
      return;
    }
    const text = line.slice(0, -2);
    if (this.#part === 'size') {
      this.#parseChunkSize(text);
    } else if (this.#part === 'trailer') {
      this.#parseTrailer(text);
    } else {
      this.#part = 'size';
      this.#state = text === '' ? 'reading' : 'malformed';
    }
  }

  #parseTrailer(text: string): void {
    this.#trailerLength += text.length;
    if (text === '') {
      this.#state = 'done';
    } else if (this.#trailerLength > MAXIMUM_TRAILER_LENGTH) {
      this.#state = 'malformed';
    }
  }

  #parseChunkSize(text: string): void {
    const digits = CHUNK_SIZE_PATTERN.exec(text)?.[1];
    if (digits === undefined) {
      this.#state = 'malformed';
      return;
    }
    this.#remaining = Number.parseInt(digits, HEXADECIMAL);
    this.#part = this.#remaining === 0 ? 'trailer' : 'data';
  }
}
