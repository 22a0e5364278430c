declare module 's-expression' {
  /** Returns nested arrays of atoms (strings) and quoted strings (String objects), or an Error. */
  export default function parse(text: string): unknown;
}
