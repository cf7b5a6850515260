Feature: messages that are no answers, with sidecars

  Scenario Outline: a message that begins with "<head>"
    Guards against a message that is no answer, or a body that can't be decoded, being passed on as an answer.
    When a call is answered with "<head>" and 5 bytes
    Then it fails as one that may have run, without any part of an answer

    Examples:
      | head                                                                         |
      | HTTP/1.1 000 X\r\nContent-Length: 5                                          |
      | HTTP/1.1 099 X\r\nContent-Length: 5                                          |
      | HTTP/1.1 101 X\r\nContent-Length: 5                                          |
      | HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: other                      |
      | HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5                   |
      | HTTP/1.1 199 X\r\nContent-Length: 5                                          |
      | HTTP/1.1 600 X\r\nContent-Length: 5                                          |
      | HTTP/1.1 999 X\r\nContent-Length: 5                                          |
      | HTTP/1.1 99 X\r\nContent-Length: 5                                           |
      | HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 5                               |
      | HTTP/1.1 200 OK\r\nX\tA: b\r\nContent-Length: 5                              |
      | HTTP/1.1 200 OK\r\nX\x01A: b\r\nContent-Length: 5                            |
      | HTTP/1.1 200 OK\r\nX\x7fA: b\r\nContent-Length: 5                            |
      | HTTP/1.1 200 OK\r\nX\xe9A: b\r\nContent-Length: 5                            |
      | HTTP/1.1 200 OK\r\nX-A : b\r\nContent-Length: 5                              |
      | HTTP/1.1 200 OK\r\nX-A: b\x01\r\nContent-Length: 5                           |
      | HTTP/1.1 200 OK\r\nX-A: b\x7f\r\nContent-Length: 5                           |
      | HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 5                         |
      | HTTP/1.1 200 OK\r\nX-A: b\nContent-Length: 5                                 |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5                    |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip                                   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip                          |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked                          |
      | HTTP/1.1 200 O\x01K\r\nContent-Length: 5                                     |
      | HTTP/1.1 200 O\x7fK\r\nContent-Length: 5                                     |

  Scenario Outline: an answer that begins with "<head>"
    Guards against a sound answer that is refused.
    When a call is answered with "<head>" and 5 bytes
    Then it is complete with status <status> and 5 bytes

    Examples:
      | head                                                                   | status |
      | HTTP/1.1 200 OK\r\nContent-Length: 5                                   | 200    |
      | HTTP/1.1 599 X\r\nContent-Length: 5                                    | 599    |
      | HTTP/1.1 200 OK\r\nX-A: caf\xe9\tb\r\nContent-Length: 5                | 200    |
      | HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 5 | 200    |
      | HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5             | 200    |
      | HTTP/1.0 200 OK                                                        | 200    |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nX-A: b | 200    |
