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

type ChunkPart = 'data' | 'dataEnd' | 'size' | 'trailer';

/** Reads one body. */
export class BodyReader {
  #byteCount = 0;
  #chunks: Buffer[] = [];
  #line = '';
  readonly #framing: BodyFraming;
  readonly #maximumBytes: number;
  #part: ChunkPart = 'size';
  #remaining: number;
  #state: BodyState = 'reading';

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
    if (bytes.length > 0) {
      this.#chunks.push(bytes);
    }
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
      this.#state = text === '' ? 'done' : 'reading';
    } else {
      this.#part = 'size';
      this.#state = text === '' ? 'reading' : 'malformed';
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
