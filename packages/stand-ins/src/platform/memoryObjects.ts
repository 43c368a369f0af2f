import type { ByteRange, ListRequest, ObjectPage, PutOutcome } from '@zincring/platform';

/** Objects of an object store in memory, without fault injection. */
export class MemoryObjects {
  private readonly objects = new Map<string, Uint8Array>();

  /** Number of objects stored so far. */
  public puts = 0;

  public putIfAbsent(name: string, content: Uint8Array): PutOutcome {
    if (this.objects.has(name)) {
      return 'exists';
    }
    this.puts++;
    this.objects.set(name, Uint8Array.from(content));
    return 'stored';
  }

  public get(name: string, range?: ByteRange): Uint8Array | undefined {
    const content = this.objects.get(name);
    return range === undefined ? content : content?.subarray(range.start, range.end);
  }

  public list(request: ListRequest): ObjectPage {
    const matching = [...this.objects.keys()]
      .filter(name => name.startsWith(request.prefix) && name > (request.after ?? ''))
      .sort();
    const names = matching.slice(0, request.limit);
    return { names, next: matching.length > names.length ? names.at(-1) : undefined };
  }

  public delete(name: string): void {
    this.objects.delete(name);
  }
}
