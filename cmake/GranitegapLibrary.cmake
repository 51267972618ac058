# Functions that declare targets, for the CMakeLists.txt of the directories.

# granitegap_library(NAME SOURCES file... [ASIO] [PUBLIC target...] [PRIVATE target...])
#
# Declares a static library of one directory, whose headers are included as "directory/header.h". ASIO links it with
# Boost.Asio and threads.
function(granitegap_library name)
  cmake_parse_arguments(LIBRARY "ASIO" "" "SOURCES;PUBLIC;PRIVATE" ${ARGN})
  add_library(${name} STATIC ${LIBRARY_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${name} PUBLIC ${LIBRARY_PUBLIC} PRIVATE ${LIBRARY_PRIVATE})
  if(LIBRARY_ASIO)
    target_compile_definitions(${name} PUBLIC BOOST_ASIO_NO_DEPRECATED)
    target_link_libraries(${name} PUBLIC Boost::headers Threads::Threads)
  endif()
endfunction()

# granitegap_messages(NAME file.proto)
#
# Declares a library of the code generated from one protobuf file. Warnings in generated code are disabled.
function(granitegap_messages name proto)
  protobuf_generate_cpp(sources headers ${proto})
  add_library(${name} STATIC ${sources} ${headers})
  target_compile_options(${name} PRIVATE -w)
  target_include_directories(${name} SYSTEM PUBLIC ${CMAKE_CURRENT_BINARY_DIR})
  target_link_libraries(${name} PUBLIC protobuf::libprotobuf-lite)
endfunction()

# granitegap_embed(FILE VARIABLE TEMPLATE HEADER)
#
# Generates HEADER from TEMPLATE, with @VARIABLE@ replaced by the text of FILE, so that the program contains the file as a
# string literal.
function(granitegap_embed file variable template header)
  file(READ ${file} ${variable})
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  configure_file(${template} ${CMAKE_CURRENT_BINARY_DIR}/generated/${header} @ONLY)
endfunction()
