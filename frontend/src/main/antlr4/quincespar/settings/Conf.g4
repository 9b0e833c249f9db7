/**
 * Grammar of the operators' settings file. Each line is a keyword with its values, or a keyword that opens a block of such
 * lines. A '#' starts a comment where a word could start. Text with blanks is written in double quotes, with the escapes
 * \" and \\.
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
