/**
 * The operators' file, line by line: a keyword and its values, or a keyword and a block of such lines. A '#' begins
 * a comment where a word could begin; text with blanks stands in double quotes, in which \" and \\ are escapes.
 */
grammar Conf;

file: line* EOF;
line: NEWLINE | block | setting;
block: WORD value* OPEN NEWLINE line* CLOSE end;
setting: WORD value* end;
value: WORD | STRING;
end: NEWLINE | EOF;

OPEN: '{';
CLOSE: '}';
STRING: '"' (~["\\\r\n] | '\\' ["\\])* '"';
WORD: ~[ \t\r\n{}"#] ~[ \t\r\n{}"]*;
COMMENT: '#' ~[\r\n]* -> skip;
NEWLINE: '\r'? '\n';
BLANKS: [ \t]+ -> skip;
OTHER: .;
